// Command rig3 runs the cases of the third review: real processes of the system on loopback
// addresses, with stand-ins for the platform, its servers, clients and an operator.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes the record of a case.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(path string) *recorder {
	f, err := os.Create(path)
	check(err)
	return &recorder{file: f, start: time.Now()}
}

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// verdict is how a case ends.
type verdict int

const (
	held   verdict = 0
	broken verdict = 1
	failed verdict = 2
)

func check(err error) {
	if err != nil {
		panic(setupError{err})
	}
}

type setupError struct{ error }

// cases holds the cases by name. Each file adds its own.
var cases = map[string]func(rec *recorder, trouble bool) verdict{}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE RECORD")
		os.Exit(2)
	}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	rec := newRecorder(os.Args[2])
	v := guarded(func() verdict { return run(rec, os.Getenv("TROUBLE") != "0") }, rec)
	rec.printf("exit %d", v)
	os.Exit(int(v))
}

// guarded runs a case. One that cannot be set up has failed, which says nothing of the rule.
func guarded(f func() verdict, rec *recorder) (v verdict) {
	defer func() {
		if p := recover(); p != nil {
			rec.printf("the case could not run: %v", p)
			fmt.Fprintln(os.Stderr, "the case could not run:", p)
			v = failed
		}
	}()
	return f()
}
