package platform

// maxNesting is the number of levels to which the values of a response may be nested.
const maxNesting = 100

// pruneNested replaces the values in JSON data that are nested in more than the given number of levels by null.
// encoding/json refuses a whole document for one value that is nested too deeply, and any writer of the store may leave
// one.
func pruneNested(data []byte, levels int) []byte {
	var pruned []byte
	depth, from, inString := 0, 0, false
	for i := 0; i < len(data); i++ {
		switch c := data[i]; {
		case inString && c == '\\':
			i++
		case c == '"':
			inString = !inString
		case inString:
		case c == '{' || c == '[':
			if depth == levels {
				pruned = append(append(pruned, data[from:i]...), "null"...)
			}
			depth++
		case c == '}' || c == ']':
			if depth--; depth == levels {
				from = i + 1
			}
		}
	}
	if pruned == nil || depth > levels {
		return data
	}
	return append(pruned, data[from:]...)
}
