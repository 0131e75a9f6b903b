//go:build review

// Command harness plays the cases of review/. It starts the programs of the deploy file
// as separate processes and stands in for the platform, its workers, clients and
// operators. It exits with 1 if the rule was broken, 0 if it held and 2 if the case
// could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"sync/atomic"
	"time"
)

func main() {
	name := flag.String("case", "", "the case")
	root := flag.String("root", ".", "the repository")
	path := flag.String("record", "record.txt", "the file to write")
	trouble := flag.Bool("trouble", true, "play the disruption")
	keep := flag.Bool("keep", false, "keep the logs")
	flag.Parse()
	f, err := os.Create(*path)
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	rec := &record{file: f, start: time.Now()}
	rec.line("case %s, trouble %v", *name, *trouble)
	play := cases[*name]
	if play == nil {
		fmt.Println("no such case")
		os.Exit(2)
	}
	s := &scene{rec: rec, root: *root, trouble: *trouble}
	broken, err := play(s)
	for _, each := range append(s.children, s) {
		if each.d != nil {
			each.d.stop(*keep)
		}
	}
	switch {
	case err != nil:
		rec.line("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		os.Exit(2)
	case broken != "":
		rec.line("BROKEN: %s", broken)
		fmt.Println("BROKEN:", broken)
		os.Exit(1)
	}
	rec.line("the rule held")
	fmt.Println("the rule held")
}

// scene is what a case works with.
type scene struct {
	rec     *record
	root    string
	trouble bool
	d       *deployment
	workers []*worker
	// children are the scenes that a case plays side by side, until over is set.
	children []*scene
	over     atomic.Bool
}

// open starts a deployment with one worker for each service, and waits until it serves
// the first configuration.
func (s *scene) open(services []string, work time.Duration, config []byte) error {
	d, err := newDeployment(s.root, s.rec, services)
	if err != nil {
		return err
	}
	s.d = d
	if err := d.startAll(); err != nil {
		return err
	}
	for i, m := range d.sides {
		w, err := startWorker(s.rec, m, fmt.Sprintf("i-%08x", 0x7f3a91c0+i), work)
		if err != nil {
			return err
		}
		s.workers = append(s.workers, w)
	}
	if status := d.put(config, 0, 0, 10*time.Second); status != 200 {
		return fmt.Errorf("the first configuration got status %d", status)
	}
	return d.awaitReady(10 * time.Second)
}

// awaitServed waits until every daemon has served a route, for at most timeout.
func (s *scene) awaitServed(host, path string, timeout time.Duration) error {
	end := time.Now().Add(timeout)
	for _, m := range s.d.sides {
		for request(s.rec, m, "GET", host, path, newID(), 1500*time.Millisecond, nil).status != 200 {
			if time.Now().After(end) {
				return fmt.Errorf("%s does not serve %s after %v", m.name, path, timeout)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

var cases = map[string]func(*scene) (string, error){
	"older-plan":    olderPlan,
	"replayed-post": replayedPost,
	"late-beat":     lateBeat,
	"odd-config":    oddConfig,
	"pipelined":     pipelined,
	"long-answers":  longAnswers,
}
