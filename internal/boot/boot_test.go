package boot_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"cuminlift/internal/boot"
)

func TestCheckReportsMissingSettings(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(c.TempDir(), "settings.json")
	c.Assert(os.WriteFile(path, []byte(`{"self": {"node": "n1"}}`), 0o600), qt.IsNil)
	var out, errOut bytes.Buffer
	code := boot.Main(context.Background(), []string{"check", "--settings", path}, &out, &errOut)
	c.Check(code, qt.Equals, 1)
	c.Check(errOut.String(), qt.Matches, `(?s).*is missing: correct the file and start again\n`)
}

func TestRunWithoutSettingsFileFails(t *testing.T) {
	c := qt.New(t)
	t.Setenv("CUMINLIFT_BOOT", filepath.Join(c.TempDir(), "nowhere.json"))
	var out, errOut bytes.Buffer
	c.Check(boot.Main(context.Background(), nil, &out, &errOut), qt.Equals, 1)
	c.Check(errOut.String(), qt.Matches, `(?s).*can't be read.*CUMINLIFT_BOOT.*`)
}

func TestUnknownFlagIsAUsageError(t *testing.T) {
	c := qt.New(t)
	var out, errOut bytes.Buffer
	c.Check(boot.Main(context.Background(), []string{"run", "--no-such-flag"}, &out, &errOut), qt.Equals, 2)
}
