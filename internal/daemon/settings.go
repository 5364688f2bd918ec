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

// SettingsError reports an invalid setting or an unusable settings file.
type SettingsError struct {
	Path    string
	Problem string
	Remedy  string
}

func (e *SettingsError) Error() string {
	return fmt.Sprintf("settings: %s: %s: %s", e.Path, e.Problem, e.Remedy)
}

var kebabCase = regexp.MustCompile(`^[a-z][a-z0-9]*(-[a-z0-9]+)*$`)

// ReadSettings reads and validates a settings file.
func ReadSettings(file string) (*schema.Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, &SettingsError{
			Path:    file,
			Problem: err.Error(),
			Remedy:  "give the path of a settings file; see docs/OPERATORS.md",
		}
	}
	return ParseSettings(text)
}

// ParseSettings parses and validates the text of a settings file.
func ParseSettings(text []byte) (*schema.Settings, error) {
	settings := &schema.Settings{}
	if err := protojson.Unmarshal(text, settings); err != nil {
		return nil, &SettingsError{
			Path:    "text",
			Problem: strings.ReplaceAll(err.Error(), "\u00a0", " "),
			Remedy:  "correct the JSON; field names are listed in docs/OPERATORS.md",
		}
	}
	return settings, CheckSettings(settings)
}

// CheckSettings validates settings. It returns a *SettingsError for an invalid one.
func CheckSettings(s *schema.Settings) error {
	for path, name := range map[string]string{"instance": s.GetInstance(), "zone": s.GetZone()} {
		if !kebabCase.MatchString(name) {
			return &SettingsError{
				Path:    path,
				Problem: fmt.Sprintf("%q is not a kebab-case name", name),
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
				Problem: fmt.Sprintf("%q is not an IP address with a port", address),
				Remedy:  "use an address such as \"10.0.0.7:8080\"",
			}
		}
	}
	base, err := url.Parse(s.GetPlatform())
	if err != nil || base.Host == "" || (base.Scheme != "http" && base.Scheme != "https") {
		return &SettingsError{
			Path:    "platform",
			Problem: fmt.Sprintf("%q is not a base URL", s.GetPlatform()),
			Remedy:  "use a URL such as \"http://10.0.0.2:9000\"",
		}
	}
	if s.GetTls() == nil {
		return &SettingsError{
			Path:    "tls",
			Problem: "is missing",
			Remedy:  "set the files of the certificate authority, the certificate and the key",
		}
	}
	return nil
}
