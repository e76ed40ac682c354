package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxTime bounds the time that a case takes.
const maxTime = 100 * time.Second

// cases holds the cases by their number. Each returns the number of times that the rule was broken.
var cases = map[string]func(w *world) int{}

func main() { os.Exit(run()) }

// run runs the case that the first argument names, with the folder of the second.
func run() (code int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER")
		return exitNoRun
	}
	var w *world
	defer func() {
		if w != nil {
			defer w.close()
		}
		if reason, ok := recover().(errCantRun); ok {
			fmt.Println("couldn't run:", reason.text)
			code = exitNoRun
		}
	}()
	w = newWorld(os.Args[2], os.Getenv("TROUBLE") != "0")
	go closeEarly(w)
	broken := cases[os.Args[1]](w)
	w.note("result: the rule was broken %d times", broken)
	fmt.Printf("case %s, trouble=%t: the rule was broken %d times\n", os.Args[1], w.trouble, broken)
	if broken > 0 {
		return exitBroken
	}
	return exitHeld
}

// closeEarly ends the case, with all that it started, when it takes too long or gets a signal.
func closeEarly(w *world) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case <-signals:
	case <-time.After(maxTime):
	}
	fmt.Println("ended early")
	w.close()
	os.Exit(exitNoRun)
}
