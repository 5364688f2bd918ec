package ownership_test

import (
	"os"
	"testing"

	"cuminlift/internal/fixedseed"
)

func TestMain(m *testing.M) {
	fixedseed.SetRapidFlags("200")
	os.Exit(m.Run())
}
