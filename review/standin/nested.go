package main

import (
	"bytes"
	"time"
)

func init() { scenarios["nested"] = scenario{base: "127.61.3", run: nestedCase} }

// nestedCase lets another writer put one entry whose bytes can't be read into the store. The rule
// LOST: machines in touch pass requests from kept connections on to sound workers and close these
// connections without an answer, more than three times. A process that ends by itself counts as
// running all the while, and memory over the limit counts as ending by itself.
func nestedCase(f *Fleet, trouble bool) (bool, error) {
	f.configure(usualRoutes())
	if err := f.start(); err != nil {
		return false, err
	}
	for _, n := range f.nodes {
		go n.limitMemory()
	}
	t := startTraffic(f, f.nodes, 8)
	time.Sleep(5 * time.Second)
	for _, n := range f.nodes {
		f.record.Note("%s has %d MB", n.name, n.residentMB())
	}
	const key = "servers/i-0badc0de"
	if trouble {
		f.store.Put(key, bytes.Repeat([]byte("["), valueBytes))
		f.record.Note("another writer has put %d bytes that can't be read under %s", valueBytes, key)
	}
	time.Sleep(15 * time.Second)
	all := t.stop()
	return lostOnKept(f, all), nil
}

// lostOnKept counts the requests of kept connections that were passed on to a worker and whose
// connection was closed without an answer.
func lostOnKept(f *Fleet, all []*Request) bool {
	lost := map[string]int{}
	answered, unanswered := 0, 0
	for _, q := range all {
		if q.Err == nil {
			answered++
			continue
		}
		unanswered++
		if q.Kept && q.closedUnanswered() && len(f.runs.of(q.ID)) > 0 {
			lost[q.Node]++
		}
	}
	total, broken := 0, false
	for _, n := range f.nodes {
		total += lost[n.name]
		broken = broken || lost[n.name] > 3
		f.record.Note("%s: %d requests of kept connections passed on to workers, connection closed without an answer; ends by memory: %d", n.name, lost[n.name], n.memoryKills)
	}
	f.record.Note("%d requests answered, %d not; %d of these passed on from kept connections", answered, unanswered, total)
	return broken
}
