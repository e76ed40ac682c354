package main

import (
	"fmt"
	"os"
)

var cases = map[string]func(w *world, trouble bool) error{}

func main() {
	if len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: kit2 CASE RECORD")
		os.Exit(2)
	}
	run := cases[os.Args[1]]
	if run == nil {
		os.Exit(2)
	}
	w, err := newWorld("target/toucanrouted")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	err = run(w, os.Getenv("TROUBLE") != "0")
	if keep := os.Getenv("KEEP"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(w.dir))
	}
	w.close()
	if err != nil {
		w.record.add("result: %v", err)
	} else {
		w.record.add("result: the rule held")
	}
	if werr := w.record.write(os.Args[2]); werr != nil {
		fmt.Fprintln(os.Stderr, werr)
		os.Exit(2)
	}
	if err == nil {
		fmt.Println("held")
		return
	}
	fmt.Println(err)
	if _, ok := err.(broken); ok {
		os.Exit(1)
	}
	os.Exit(2)
}

// broken says how the rule was broken.
type broken string

func (b broken) Error() string { return "BROKEN: " + string(b) }
