package slotqueue

// class is a priority class of requests.
type class struct {
	nested bool
	rank   int
}

func (t *Ticket) class() class { return class{nested: t.Nested, rank: t.Rank} }

// maxPassedOver is the number of starts of other classes after which a class is due. Up to
// four lower classes then leave the highest one a fifth of the starts at least.
const maxPassedOver = 4

// turns counts, for each class that requests were offered of, the starts of other classes
// since it last had one. A rate limit may leave so little room that strict priority would
// starve the lower classes.
type turns map[class]int

// offered records that a request was offered.
func (t turns) offered(c class) {
	t[c] += 0 // adds the class if it is new
}

// started records that a request has started.
func (t turns) started(c class) {
	for other := range t {
		t[other]++
	}
	t[c] = 0
}

// due reports whether a class has been passed over so often that it goes first.
func (t turns) due(c class) bool { return t[c] >= maxPassedOver }
