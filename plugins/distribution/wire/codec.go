package wire

import (
	"github.com/bronzemast/bronzemast/internal/strictcbor"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Size limits of messages.
const (
	// MaxPushBytes is the maximum payload size of a requested push.
	MaxPushBytes = 36 << 20
	// MaxEagerBytes is the maximum size of an unsolicited push, and thereby of any
	// message that a node reads from a link on which it has requested no document.
	MaxEagerBytes = 256 << 10
	// MaxHelloBytes is the maximum size of the first message on a link.
	MaxHelloBytes = 1 << 10
	// MaxFindings is the maximum number of findings in a Refusal. MaxFindingBytes
	// bounds the file, field and message of a finding together.
	MaxFindings     = 32
	MaxFindingBytes = 512
	// maxNameBytes is the maximum length of host IDs and fleet names.
	maxNameBytes    = 128
	maxNestedLevels = 8
)

var (
	encoding = newEncoding()
	decoding = newDecoding()
)

func newEncoding() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

func newDecoding() cbor.DecMode {
	return strictcbor.NewDecMode(cbor.DecOptions{
		TagsMd:           cbor.TagsForbidden,
		MaxArrayElements: MaxFindings,
		MaxMapPairs:      16,
		MaxNestedLevels:  maxNestedLevels,
	})
}

// Encode returns the wire format of a message.
func Encode(m Message) ([]byte, error) {
	body, err := encoding.Marshal(m)
	if err != nil {
		return nil, errors.Wrapf(err, "encode %s", m.Kind())
	}
	data := make([]byte, 0, len(body)+1)
	data = append(data, byte(m.Kind()))
	return append(data, body...), nil
}

// Decode decodes a message. It returns an error if the message is malformed or
// exceeds a limit.
func Decode(data []byte) (Message, error) {
	if len(data) == 0 {
		return nil, errors.New("empty message")
	}
	m := newMessage(Kind(data[0]))
	if m == nil {
		return nil, errors.Errorf("unknown message kind %d", data[0])
	}
	if err := decoding.Unmarshal(data[1:], m); err != nil {
		return nil, errors.Wrapf(err, "decode %s", m.Kind())
	}
	if err := check(m); err != nil {
		return nil, errors.Wrapf(err, "decode %s", m.Kind())
	}
	return m, nil
}

func newMessage(kind Kind) Message {
	switch kind {
	case KindHello:
		return new(Hello)
	case KindHeartbeat:
		return new(Heartbeat)
	case KindPush:
		return new(Push)
	case KindAnnounce:
		return new(Announce)
	case KindPull:
		return new(Pull)
	case KindPrune:
		return new(Prune)
	case KindGraft:
		return new(Graft)
	case KindNotice:
		return new(Notice)
	case KindRefusal:
		return new(Refusal)
	case KindGoodbye:
		return new(Goodbye)
	}
	return nil
}

func check(m Message) error {
	switch m := m.(type) {
	case *Hello:
		return checkHello(m)
	case *Push:
		return checkPush(m)
	case *Pull:
		return checkDocument(m.Document)
	case *Graft:
		return checkDocument(m.Document)
	case *Notice:
		return checkName(string(m.Notice.Host))
	case *Refusal:
		return checkRefusal(m)
	}
	return nil
}

func checkHello(m *Hello) error {
	for _, name := range []string{m.Fleet, string(m.Host)} {
		if err := checkName(name); err != nil {
			return err
		}
	}
	if len(m.Receiver) > maxNameBytes {
		return errors.New("receiver ID is too long")
	}
	if m.Incarnation == 0 {
		return errors.New("incarnation is missing")
	}
	return nil
}

func checkName(name string) error {
	if name == "" || len(name) > maxNameBytes {
		return errors.Errorf("name has %d bytes, want 1 to %d", len(name), maxNameBytes)
	}
	return nil
}

func checkPush(m *Push) error {
	if err := checkDocument(m.Document); err != nil {
		return err
	}
	if m.Target.Number == 0 || m.Base.Number > m.Target.Number {
		return errors.Errorf("target version %d is zero or older than base version %d", m.Target.Number, m.Base.Number)
	}
	if len(m.Payload) > MaxPushBytes {
		return errors.Errorf("payload has %d bytes, more than the limit of %d", len(m.Payload), MaxPushBytes)
	}
	return nil
}

func checkDocument(d Document) error {
	if d != DocumentRelease && d != DocumentHosts {
		return errors.Errorf("unknown document kind %d", d)
	}
	return nil
}

func checkRefusal(m *Refusal) error {
	for _, f := range m.Findings {
		if len(f.Message)+len(f.Place.File)+len(f.Place.Field) > MaxFindingBytes {
			return errors.New("finding is too long")
		}
	}
	return nil
}
