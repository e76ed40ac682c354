package questionnaire

import (
	"fmt"
	"os"

	"github.com/toucanroute/toucanroute/version/document"
)

// Names of the top-level lists of a questionnaire file to which Add and Remove apply.
const (
	Workspaces = "workspaces"
	Classes    = "classes"
	Routes     = "routes"
)

// Add appends an answer, such as a wire.ClassAnswer, to a list of the questionnaire at path and keeps the file's
// comments. If the result would be invalid, the file is not changed.
func Add(path, list string, answer any) error {
	return editFile(path, func(d *document.Document) ([]byte, error) { return d.Append(list, answer) })
}

// Remove removes the answer with that name from a list of the questionnaire at path. Like Add, it keeps the other
// comments and doesn't change the file if the result would be invalid.
func Remove(path, list, name string) error {
	return editFile(path, func(d *document.Document) ([]byte, error) { return d.Remove(list, name) })
}

func editFile(path string, change func(*document.Document) ([]byte, error)) error {
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
	return replaceFile(path, data)
}

// replaceFile replaces the file's content atomically by a rename, so that no process reads a half-written file.
func replaceFile(path string, data []byte) error {
	info, err := os.Stat(path)
	if err != nil {
		return fmt.Errorf("replace: %w", err)
	}
	tempPath := path + ".new"
	if err := os.WriteFile(tempPath, data, info.Mode().Perm()); err != nil {
		return fmt.Errorf("replace: %w", err)
	}
	if err := os.Rename(tempPath, path); err != nil {
		return fmt.Errorf("replace: %w", err)
	}
	return nil
}
