package main

import (
	"sync"
	"time"
)

func init() { scenarios["pipeline"] = scenario{base: "127.61.4", run: pipelineCase} }

// inspectorDeadline is how long an inspector's client waits (the site's inspector-view).
const inspectorDeadline = 15 * time.Second

// pipelineCase lets clients send safe requests before the first one of their connection has been
// answered, while the workers of that first one are slow. The rule LOST: a machine in touch passes
// requests from kept connections on to sound workers and closes these connections without an
// answer, more than three times.
func pipelineCase(f *Fleet, trouble bool) (bool, error) {
	f.configure(usualRoutes())
	if err := f.start(); err != nil {
		return false, err
	}
	if trouble {
		for _, w := range f.workers[5:8] {
			w.slow.Store(500)
		}
		f.record.Note("three of the four workers of %s work 5 times as long", assessments)
	}
	var mu sync.Mutex
	var all []*Request
	var clients sync.WaitGroup
	for i := range 8 {
		node := f.nodes[i%2]
		clients.Go(func() {
			c, err := dial(node)
			if err != nil {
				f.record.Note("client %d: %v", i, err)
				return
			}
			defer func() { _ = c.Close() }()
			// The connection is a kept one: it has served a request before.
			first := newRequest("GET", hostName, "/status/first?work=50", inspectorDeadline)
			if c.send(first) != nil || !c.receive(first) {
				f.record.Note("client %d: %s", i, first.outcome())
				return
			}
			row := []*Request{newRequest("GET", hostName, "/view/record?work=1500", inspectorDeadline)}
			for range 3 {
				row = append(row, newRequest("GET", hostName, "/drawing/get?work=220&bytes=20000", inspectorDeadline))
			}
			for _, q := range row {
				f.record.Detail("client %d sends %s %s to %s", i, q.ID, q.URI, node.name)
			}
			if c.send(row...) != nil {
				return
			}
			open := true
			for _, q := range row {
				if open {
					open = c.receive(q)
				} else {
					q.Err = row[0].Err
					for _, earlier := range row {
						if earlier.Err != nil {
							q.Err = earlier.Err
							break
						}
					}
				}
				f.record.Detail("client %d: %s %s after %.3f s: %s", i, q.ID, q.URI, time.Since(q.SentAt).Seconds(), q.outcome())
			}
			mu.Lock()
			all = append(all, row...)
			mu.Unlock()
		})
	}
	clients.Wait()
	lost, answered := map[string]int{}, 0
	for _, q := range all {
		runs := f.runs.of(q.ID)
		if q.Err == nil {
			answered++
			continue
		}
		ended := len(runs) > 0 && runs[len(runs)-1].ended
		f.record.Note("%s %s: %s; runs at workers: %d, ended there: %t", q.ID, q.URI, q.outcome(), len(runs), ended)
		if len(runs) > 0 && q.closedUnanswered() {
			lost[q.Node]++
		}
	}
	broken := false
	for node, n := range lost {
		f.record.Note("%s has passed on %d requests of kept connections and closed these without an answer", node, n)
		broken = broken || n > 3
	}
	f.record.Note("%d requests, %d answered", len(all), answered)
	return broken, nil
}
