// Command cases2 plays the scripted cases of the second review: it starts the project's own
// programs as separate processes, with stand-ins for the platform, the workers and the clients.
// It exits with 1 if a rule was broken, 0 if it held and 2 if the case could not be run.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases has the cases by name. trouble is false for a play without the disruption.
var cases = map[string]func(r *record, root string, trouble bool) (int, error){
	"pipeline-deadlock": pipelineDeadlock,
	"pipeline-cut":      pipelineCut,
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: cases2 CASE ROOT RECORD")
		os.Exit(exitNotRun)
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(exitNotRun)
	}
	r, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	// A case that hangs counts as not run. The processes end with this one.
	time.AfterFunc(115*time.Second, func() {
		r.say("the case took too long")
		r.close()
		os.Exit(exitNotRun)
	})
	code, err := play(r, os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.say("the case could not be run: %v", err)
		code = exitNotRun
	}
	r.say("exit %d", code)
	r.close()
	os.Exit(code)
}
