package httpconn

import (
	"hash/maphash"
	"slices"
)

// maxCarriedIDs is the number of latest requests that a connection remembers.
const maxCarriedIDs = 64

// idSeed is the seed of the hashes of IDs.
var idSeed = maphash.MakeSeed()

// carriedIDs remembers the IDs of the latest requests on a connection, as hashes. Two IDs with the
// same hash count as the same one, which costs a connection at worst.
type carriedIDs struct {
	// hashes is a ring; next is the index of the oldest entry once it is full.
	hashes []uint64
	next   int
}

// add remembers an ID.
func (c *carriedIDs) add(id string) {
	hash := maphash.String(idSeed, id)
	if len(c.hashes) < maxCarriedIDs {
		c.hashes = append(c.hashes, hash)
		return
	}
	c.hashes[c.next] = hash
	c.next = (c.next + 1) % maxCarriedIDs
}

// includes reports whether an ID is remembered.
func (c *carriedIDs) includes(id string) bool {
	return slices.Contains(c.hashes, maphash.String(idSeed, id))
}

// mayUse reports whether a request may be sent on a connection that has been used: an extra
// response to an earlier request can be told from its own by the ID, if it has one that no
// earlier request on the connection had.
func (r *Request) mayUse(c *conn) bool {
	return r.Matches == nil || r.ID != "" && !c.carried.includes(r.ID)
}
