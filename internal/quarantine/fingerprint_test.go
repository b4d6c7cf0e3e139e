package quarantine

import (
	"bytes"
	"strconv"
	"testing"

	. "github.com/onsi/gomega"
)

func TestEqualRequestsHaveEqualFingerprints(t *testing.T) {
	g := NewWithT(t)
	base := Request{Method: "POST", Authority: "shop.example", Target: "/a?b=c", Body: []byte("body")}
	same := base
	same.Authority = "Shop.Example"
	g.Expect(same.Fingerprint()).To(Equal(base.Fingerprint()))

	for name, other := range map[string]Request{
		"caller":          {Caller: "kiosk", Method: "POST", Authority: "shop.example", Target: "/a?b=c", Body: []byte("body")},
		"method":          {Method: "PUT", Authority: "shop.example", Target: "/a?b=c", Body: []byte("body")},
		"authority":       {Method: "POST", Authority: "pay.example", Target: "/a?b=c", Body: []byte("body")},
		"path":            {Method: "POST", Authority: "shop.example", Target: "/b?b=c", Body: []byte("body")},
		"query":           {Method: "POST", Authority: "shop.example", Target: "/a?b=d", Body: []byte("body")},
		"body":            {Method: "POST", Authority: "shop.example", Target: "/a?b=c", Body: []byte("bodY")},
		"moved separator": {Method: "POST", Authority: "shop.example", Target: "/a?b=cb", Body: []byte("ody")},
		"streamed":        {Method: "POST", Authority: "shop.example", Target: "/a?b=c", Body: []byte("body"), Streamed: true},
	} {
		g.Expect(other.Fingerprint()).NotTo(Equal(base.Fingerprint()), name)
	}
}

// What has arrived of a streamed body when the request is forwarded depends on its encoding.
func TestAStreamedBodyCountsUpToAFixedLength(t *testing.T) {
	g := NewWithT(t)
	body := bytes.Repeat([]byte("x"), 4*StreamedBodyBytes)
	short := Request{Method: "POST", Target: "/", Body: body[:StreamedBodyBytes], Streamed: true}
	long := Request{Method: "POST", Target: "/", Body: body, Streamed: true}
	g.Expect(long.Fingerprint()).To(Equal(short.Fingerprint()))
}

func TestAFingerprintIsParsedBack(t *testing.T) {
	g := NewWithT(t)
	f := (&Request{Method: "GET", Target: "/"}).Fingerprint()
	parsed, err := ParseFingerprint(f.String())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(parsed).To(Equal(f))
	for _, text := range []string{"", "zz", f.String()[2:], f.String() + "00"} {
		_, err := ParseFingerprint(text)
		g.Expect(err).To(HaveOccurred(), "%q", text)
	}
}

func BenchmarkFingerprint(b *testing.B) {
	for _, size := range []int{0, 1 << 10, 256 << 10} {
		b.Run(strconv.Itoa(size), func(b *testing.B) {
			r := Request{Method: "POST", Authority: "shop.example", Target: "/orders/1", Body: make([]byte, size)}
			b.ReportAllocs()
			for b.Loop() {
				r.Fingerprint()
			}
		})
	}
}
