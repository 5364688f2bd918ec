package admission_test

import (
	"os"
	"testing"

	"cuminlift/internal/fixedseed"
)

func TestMain(m *testing.M) {
	fixedseed.SetRapidFlags("500")
	os.Exit(m.Run())
}
