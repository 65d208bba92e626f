// Command standin runs one case of the review: it starts the project's program as separate
// processes, plays clients, upstreams and the platform, and judges what they see.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// limit ends a case that takes too long; a case may take 120 s.
const limit = 115 * time.Second

// scene is what a case gets.
type scene struct {
	program string // program is the path of the project's program.
	folder  string // folder is a temporary folder.
	trouble bool   // trouble is unset for a run without the disruption.
	record  *record
}

var cases = map[string]func(*scene) (int, error){
	"term":   caseTerm,
	"stream": caseStream,
	"evac":   caseEvac,
	"drain":  caseDrain,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE PROGRAM FOLDER")
		return exitNotRun
	}
	program, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	r, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(folder) }()
	} else {
		fmt.Println("logs in", folder)
	}
	type outcome struct {
		code int
		err  error
	}
	done := make(chan outcome, 1)
	s := &scene{program: program, folder: folder, trouble: os.Getenv("TROUBLE") != "0", record: r}
	go func() {
		code, err := cases[os.Args[1]](s)
		done <- outcome{code, err}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-interrupted:
		stopAll()
		r.say("the case could not run: it was interrupted")
		return exitNotRun
	case o := <-done:
		if o.err != nil {
			r.say("the case could not run: %v", o.err)
			return exitNotRun
		}
		r.say("exit %d", o.code)
		return o.code
	case <-time.After(limit):
		stopAll()
		r.say("the case could not run: it took over %v", limit)
		return exitNotRun
	}
}
