package warmup

import (
	"testing"

	"github.com/bronzemast/bronzemast/internal/fixedseed"
)

func TestMain(m *testing.M) {
	fixedseed.Main(m)
}
