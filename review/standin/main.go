// Command standin plays one case of the review against processes of the system: it starts a small
// deployment, stands in for its clients, its servers, its operator and its platform, and checks one
// rule. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
// With TROUBLE=0 it does the same without the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	held   = 0
	broken = 1
	failed = 2
	// limit is how long a case may take.
	limit = 115 * time.Second
)

// cases play a case and return whether its rule was broken.
var cases = map[string]func(d *deployment, trouble bool) (bool, error){
	"replay": playReplay,
	"keys":   playKeys,
	"list":   playList,
	"paths":  playPaths,
	"chain":  playChain,
	"stages": playStages,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return failed
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer func() { _ = file.Close() }()
	r := &record{file: file, start: time.Now()}
	d, err := newDeployment(r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer d.stop()
	trouble := os.Getenv("TROUBLE") != "0"
	r.printf("case %s, disruption: %t", os.Args[1], trouble)
	type result struct {
		isBroken bool
		err      error
	}
	results := make(chan result, 1)
	go func() {
		isBroken, err := cases[os.Args[1]](d, trouble)
		results <- result{isBroken, err}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	out := result{err: fmt.Errorf("not finished after %v", limit)}
	select {
	case out = <-results:
	case <-stop:
		out.err = fmt.Errorf("stopped")
	case <-time.After(limit):
	}
	switch {
	case out.isBroken:
		r.printf("result: the rule was broken")
		return broken
	case out.err != nil:
		r.printf("result: the case could not run: %v", out.err)
		fmt.Fprintln(os.Stderr, out.err)
		return failed
	}
	r.printf("result: the rule held")
	return held
}
