package main

import (
	"bytes"
	"fmt"
	"time"
)

func init() { scenarios["batch"] = scenario{base: "127.61.5", run: batchCase} }

// batchCase lets another writer put several large values that can't be read into the store at once,
// and the operator change the configuration after that. The rule CONFIG: a request sent later than
// config_apply after the acknowledgement of a version is handled as only an older version allows.
func batchCase(f *Fleet, trouble bool) (bool, error) {
	f.configure(usualRoutes())
	if err := f.start(); err != nil {
		return false, err
	}
	if trouble {
		for i := range 8 {
			f.store.Put(fmt.Sprintf("servers/i-0badc0d%d", i), bytes.Repeat([]byte{0xff}, valueBytes))
		}
		f.record.Note("another writer has put 8 values of %d bytes that can't be read under servers/", valueBytes)
	}
	time.Sleep(time.Second)
	routes := usualRoutes()
	routes[0].service = assessments // the route moves to another service
	routes = append(routes, route{name: "added", prefix: "/added/", kind: "safe", service: renewals, timeout: 2 * time.Second, latency: 600 * time.Millisecond, priority: 2})
	acknowledged := f.configure(routes)
	old, total, statuses := 0, 0, map[int]int{}
	for time.Since(acknowledged) < 30*time.Second {
		time.Sleep(200 * time.Millisecond)
		for i, n := range f.nodes {
			uri := "/status/a?work=20"
			if i%2 == 0 {
				uri = "/added/a?work=20"
			}
			c, err := dial(n)
			if err != nil {
				return false, err
			}
			q := newRequest("GET", hostName, uri, 4*time.Second)
			late := time.Since(acknowledged) > configApply
			_ = c.send(q)
			c.receive(q)
			_ = c.Close()
			isOld := q.Status == 404
			for _, run := range f.runs.of(q.ID) {
				isOld = isOld || i%2 == 1 && run.service == renewals
			}
			if late {
				total++
				statuses[q.Status]++
				if isOld {
					old++
				}
			}
			f.record.Detail("%.3f s after the acknowledgement, client at %s: %s %s: %s, handled as only the older version allows: %t", time.Since(acknowledged).Seconds(), n.name, q.ID, q.URI, q.outcome(), isOld)
		}
	}
	f.record.Note("of %d requests sent later than config_apply after the acknowledgement, %d were handled as only the older version allows; statuses %v; largest answer to a watch %d bytes", total, old, statuses, f.store.largestWatch)
	return old > 0, nil
}
