package questionnaire

import (
	"fmt"
	"os"

	"github.com/toucanroute/toucanroute/version/document"
)

// Lists of a questionnaire that Add and Remove change.
const (
	Workspaces = "workspaces"
	Classes    = "classes"
	Routes     = "routes"
)

// Add adds an answer to a list of the questionnaire at path, keeping its comments. The file stays as it was where
// the result has faults.
func Add(path, list string, answer any) error {
	return edit(path, func(d *document.Document) ([]byte, error) { return d.Append(list, answer) })
}

// Remove removes the answer of that name from a list of the questionnaire at path, as Add does.
func Remove(path, list, name string) error {
	return edit(path, func(d *document.Document) ([]byte, error) { return d.Remove(list, name) })
}

func edit(path string, change func(*document.Document) ([]byte, error)) error {
	d, err := document.Read(path)
	if err != nil {
		return err
	}
	data, err := change(d)
	if err != nil {
		return err
	}
	if _, err := Parse(path, data); err != nil {
		return fmt.Errorf("%s is unchanged, since it would have faults: %w", path, err)
	}
	return replace(path, data)
}

// replace puts data in place of the file's content at once, so that no reader sees half of it.
func replace(path string, data []byte) error {
	info, err := os.Stat(path)
	if err != nil {
		return fmt.Errorf("replace: %w", err)
	}
	next := path + ".new"
	if err := os.WriteFile(next, data, info.Mode().Perm()); err != nil {
		return fmt.Errorf("replace: %w", err)
	}
	if err := os.Rename(next, path); err != nil {
		return fmt.Errorf("replace: %w", err)
	}
	return nil
}
