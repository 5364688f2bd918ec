package daemon

import (
	"fmt"
	"net"
	"net/url"
	"os"
	"regexp"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"

	"cuminlift/schema"
)

// SettingsError reports settings that can't be used.
type SettingsError struct {
	Path    string
	Problem string
	Remedy  string
}

func (e *SettingsError) Error() string {
	return fmt.Sprintf("settings: %s: %s: %s", e.Path, e.Problem, e.Remedy)
}

var kebab = regexp.MustCompile(`^[a-z][a-z0-9]*(-[a-z0-9]+)*$`)

// ReadSettings reads and checks a settings file.
func ReadSettings(file string) (*schema.Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, &SettingsError{
			Path:    file,
			Problem: err.Error(),
			Remedy:  "give the path of a settings file, see docs/OPERATORS.md",
		}
	}
	return ParseSettings(text)
}

// ParseSettings reads and checks the text of a settings file.
func ParseSettings(text []byte) (*schema.Settings, error) {
	settings := &schema.Settings{}
	if err := protojson.Unmarshal(text, settings); err != nil {
		return nil, &SettingsError{
			Path:    "text",
			Problem: strings.ReplaceAll(err.Error(), "\u00a0", " "),
			Remedy:  "correct the JSON, field names are listed in docs/OPERATORS.md",
		}
	}
	return settings, CheckSettings(settings)
}

// CheckSettings returns a *SettingsError for the first setting that can't be used.
func CheckSettings(s *schema.Settings) error {
	for path, name := range map[string]string{"instance": s.GetInstance(), "zone": s.GetZone()} {
		if !kebab.MatchString(name) {
			return &SettingsError{
				Path:    path,
				Problem: fmt.Sprintf("%q is no kebab-case name", name),
				Remedy:  "use a name such as \"entry-1\"",
			}
		}
	}
	addresses := map[string]string{
		"callers":   s.GetCallers(),
		"peers":     s.GetPeers(),
		"forward":   s.GetForward(),
		"operators": s.GetOperators(),
	}
	for path, address := range addresses {
		host, _, err := net.SplitHostPort(address)
		if err != nil || net.ParseIP(host) == nil {
			return &SettingsError{
				Path:    path,
				Problem: fmt.Sprintf("%q is no IP address with a port", address),
				Remedy:  "use an address such as \"10.0.0.7:8080\"",
			}
		}
	}
	base, err := url.Parse(s.GetPlatform())
	if err != nil || base.Host == "" || (base.Scheme != "http" && base.Scheme != "https") {
		return &SettingsError{
			Path:    "platform",
			Problem: fmt.Sprintf("%q is no base URL", s.GetPlatform()),
			Remedy:  "use a URL such as \"http://10.0.0.2:9000\"",
		}
	}
	if s.GetTls() == nil {
		return &SettingsError{
			Path:    "tls",
			Problem: "is missing",
			Remedy:  "name the files of a certificate authority, a certificate and a key",
		}
	}
	return nil
}
