package settings

import (
	"crypto/ed25519"
	"log/slog"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const testPublicKey = "ann ed25519 AAECAwQFBgcICQoLDA0ODxAREhMUFRYXGBkaGxwdHh8="

const minimalSettings = `region = "ostlandet"
failure_domain = "oslo-a"
[peer]
listen = "127.0.0.1:7070"
[bundle]
trusted_keys = ["` + testPublicKey + `"]
approver_keys = ["` + testPublicKey + `"]
`

// Guards against rejecting a file with only the required keys, and against wrong defaults of node_id and of the gossip
// and advertised addresses, which are derived from other keys.
func TestParseMinimal(t *testing.T) {
	got, configErrors := Parse("n.toml", []byte(minimalSettings))
	if len(configErrors) != 0 {
		t.Fatalf("configuration errors: %v", configErrors)
	}
	key := make([]byte, 32)
	for i := range key {
		key[i] = byte(i)
	}
	want := defaults()
	want.NodeID = "127.0.0.1:7070"
	want.Region, want.FailureDomain = "ostlandet", "oslo-a"
	want.Peer = Peer{Listen: "127.0.0.1:7070", Advertise: "127.0.0.1:7070"}
	want.Gossip = Gossip(want.Peer)
	want.Bundle.TrustedKeys = map[string]ed25519.PublicKey{"ann": key}
	want.Bundle.ApproverKeys = want.Bundle.TrustedKeys
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// Guards against a key whose value is ignored or stored in the wrong field.
func TestParseEveryKey(t *testing.T) {
	text := `node_id = "oslo-a-1"
region = "ostlandet"
failure_domain = "oslo-a"
seeds = ["10.0.0.1:7070", "[fd00::1]:7070"]
drain_timeout = "45s"
drain_reserve = "5s"
drain_notice = "2s"
gc_percent = 80
adapter = "prepared"
ingress = { listen = "10.0.0.7:80", header_timeout = "2s", idle_timeout = "75s", max_header_bytes = 2048, max_body_bytes = 4096 }
[peer]
listen = "0.0.0.0:7070"
advertise = "10.0.0.7:7070"
[gossip]
listen = "0.0.0.0:7071"
advertise = "10.0.0.7:7071"
[admin]
listen = "10.0.0.7:9090"
token = "secret"
[announce]
listen = "[::1]:9191"
[store]
url = "https://10.0.0.2:6443/objects"
region = "vestlandet"
token = "other"
timeout = "500ms"
watch_wait = "3s"
calls_per_second = 2.5
[backend]
service = "katalog"
address = "10.0.0.7:8301"
port_check = "0s"
max_response_header_bytes = 8192
[health]
listen = "10.0.0.7:8302"
[metrics]
listen = "10.0.0.7:9100"
[retry]
share = 0.2
floor = 56
window = "10s"
[accounts]
require_confirmation = true
revocation = "3s"
[bundle]
unsigned = true
trusted_keys = ["` + testPublicKey + `"]
approver_keys = ["` + testPublicKey + `"]
[log]
level = "debug"
`
	got, configErrors := Parse("n.toml", []byte(text))
	if len(configErrors) != 0 {
		t.Fatalf("configuration errors: %v", configErrors)
	}
	want := Settings{
		NodeID: "oslo-a-1", Region: "ostlandet", FailureDomain: "oslo-a",
		Ingress:      Ingress{Listen: "10.0.0.7:80", HeaderTimeout: 2 * time.Second, IdleTimeout: 75 * time.Second, MaxHeaderBytes: 2048, MaxBodyBytes: 4096},
		Peer:         Peer{Listen: "0.0.0.0:7070", Advertise: "10.0.0.7:7070"},
		Gossip:       Gossip{Listen: "0.0.0.0:7071", Advertise: "10.0.0.7:7071"},
		Admin:        Admin{Listen: "10.0.0.7:9090", Token: "secret"},
		Announce:     Announce{Listen: "[::1]:9191"},
		Seeds:        []string{"10.0.0.1:7070", "[fd00::1]:7070"},
		Store:        Store{URL: "https://10.0.0.2:6443/objects", Region: "vestlandet", Token: "other", Timeout: 500 * time.Millisecond, WatchWait: 3 * time.Second, CallsPerSecond: 2.5},
		Bundle:       got.Bundle,
		Log:          Log{Level: slog.LevelDebug},
		DrainTimeout: 45 * time.Second,
		DrainReserve: 5 * time.Second,
		DrainNotice:  2 * time.Second,
		GCPercent:    80,
		Adapter:      "prepared",
		Backend:      Backend{Service: "katalog", Address: "10.0.0.7:8301", MaxResponseHeaderBytes: 8192},
		Health:       Health{Listen: "10.0.0.7:8302"},
		Metrics:      Metrics{Listen: "10.0.0.7:9100"},
		Retry:        Retry{Share: 0.2, Floor: 56, Window: 10 * time.Second},
		Accounts:     Accounts{RequireConfirmation: true, Revocation: 3 * time.Second},
	}
	if !got.Bundle.Unsigned {
		t.Error("bundle.unsigned is not stored")
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// Guards against a default that the documentation states and that differs from the one in use: a file that sets each
// key to its stated default must give the same settings as one that sets none.
func TestDefaultsAreAsDescribed(t *testing.T) {
	literal := regexp.MustCompile(`^([0-9]+|[0-9]+(ms|s|m|h)|[0-9.]+:[0-9]+|true|false|info)$`)
	for _, k := range Keys() {
		if k.Required || !literal.MatchString(k.Default) {
			continue
		}
		value := k.Default
		if !regexp.MustCompile(`^([0-9]+|true|false)$`).MatchString(value) {
			value = strconv.Quote(value)
		}
		if k.Name == "bundle.unsigned" {
			continue // the minimal settings hold the table already; TestParseMinimal covers it
		}
		got, configErrors := Parse("n.toml", []byte(k.Name+" = "+value+"\n"+minimalSettings))
		if len(configErrors) != 0 {
			t.Errorf("%s = %s: %v", k.Name, value, configErrors)
			continue
		}
		want, _ := Parse("n.toml", []byte(minimalSettings))
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%s: the stated default %s is not the one in use:\n%s", k.Name, k.Default, diff)
		}
	}
}

// Guards against invalid settings that are accepted, or reported with a wrong line or key or without the allowed values.
func TestParseErrors(t *testing.T) {
	tests := []struct {
		name, text string
		line       int
		key        string
	}{
		{"unknown key", "colour = 1\n" + minimalSettings, 1, "colour"},
		{"unknown table", minimalSettings + "[cache]\nsize = 1\n", 8, "cache"},
		{"unknown key in table", minimalSettings + "[ingress]\nlisten = \"127.0.0.1:1\"\ncolour = 1\n", 10, "ingress.colour"},
		{"unknown key in inline table", "ingress = { colour = 1 }\n" + minimalSettings, 1, "ingress.colour"},
		{"table given as value", "ingress = 3\n" + minimalSettings, 1, "ingress"},
		{"host name", minimalSettings + "[ingress]\nlisten = \"localhost:80\"\n", 9, "ingress.listen"},
		{"no port", minimalSettings + "[ingress]\nlisten = \"10.0.0.1\"\n", 9, "ingress.listen"},
		{"address of wrong type", minimalSettings + "[ingress]\nlisten = 80\n", 9, "ingress.listen"},
		{"duration without unit", "drain_timeout = \"30\"\n" + minimalSettings, 1, "drain_timeout"},
		{"duration as number", "drain_timeout = 30\n" + minimalSettings, 1, "drain_timeout"},
		{"duration too long", "drain_timeout = \"2h\"\n" + minimalSettings, 1, "drain_timeout"},
		{"number out of range", minimalSettings + "[ingress]\nmax_header_bytes = 12\n", 9, "ingress.max_header_bytes"},
		{"negative body limit", minimalSettings + "[ingress]\nmax_body_bytes = -1\n", 9, "ingress.max_body_bytes"},
		{"rate is not a number", minimalSettings + "[store]\ncalls_per_second = nan\n", 9, "store.calls_per_second"},
		{"store URL without scheme", minimalSettings + "[store]\nurl = \"10.0.0.1:80\"\n", 9, "store.url"},
		{"admin token missing", minimalSettings + "[admin]\nlisten = \"10.0.0.1:80\"\n", 8, "admin.token"},
		{"reserve not below the timeout", "drain_timeout = \"2s\"\ndrain_reserve = \"2s\"\n" + minimalSettings, 2, "drain_reserve"},
		{"retry budget without a window", minimalSettings + "[retry]\nshare = 0.1\n", 8, "retry.window"},
		{"retry share above 1", minimalSettings + "[retry]\nshare = 1.1\nwindow = \"1s\"\n", 9, "retry.share"},
		{"unsigned as text", minimalSettings + "unsigned = \"yes\"\n", 8, "bundle.unsigned"},
		{"announce address not loopback", minimalSettings + "[announce]\nlisten = \"0.0.0.0:80\"\n", 9, "announce.listen"},
		{"advertise missing", strings.Replace(minimalSettings, "127.0.0.1:7070", "0.0.0.0:7070", 1) + "[gossip]\nlisten = \"127.0.0.1:1\"\n", 3, "peer.advertise"},
		{"advertise unspecified", minimalSettings + "[gossip]\nadvertise = \"0.0.0.0:80\"\n", 9, "gossip.advertise"},
		{"seed with host name", "seeds = [\"10.0.0.1:1\", \"seed:1\"]\n" + minimalSettings, 1, "seeds"},
		{"short public key", strings.Replace(minimalSettings, testPublicKey, "ann ed25519 AAEC", 1), 6, "bundle.trusted_keys"},
		{"public key without name", strings.Replace(minimalSettings, "[\"ann ", "[\"", 1), 6, "bundle.trusted_keys"},
		{"duplicate key owner", strings.Replace(minimalSettings, "[\""+testPublicKey+"\"]", "[\""+testPublicKey+"\", \""+testPublicKey+"\"]", 1), 6, "bundle.trusted_keys"},
		{"owner with two keys", strings.Replace(minimalSettings, "AAEC", "AQEC", 1), 7, "bundle.approver_keys"},
		{"no approver keys", strings.Replace(minimalSettings, "approver_keys = [\""+testPublicKey+"\"]", "approver_keys = []", 1), 7, "bundle.approver_keys"},
		{"unknown log level", minimalSettings + "[log]\nlevel = \"loud\"\n", 9, "log.level"},
		{"region missing", strings.Replace(minimalSettings, "region = \"ostlandet\"\n", "", 1), 1, "region"},
		{"syntax", minimalSettings + "[log\n", 8, ""},
		{"duplicate key", "region = \"x\"\n" + minimalSettings, 2, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, configErrors := Parse("n.toml", []byte(tt.text))
			if len(configErrors) != 1 {
				t.Fatalf("got %d errors, want 1: %v", len(configErrors), configErrors)
			}
			e := configErrors[0]
			if e.File != "n.toml" || e.Line != tt.line || e.Key != tt.key || e.Allowed == "" {
				t.Errorf("got %+v, want line %d key %q and the allowed values", e, tt.line, tt.key)
			}
		})
	}
}

// Guards against a parser that stops at the first error.
func TestParseReportsAllErrors(t *testing.T) {
	_, configErrors := Parse("n.toml", []byte("colour = 1\nregion = 5\n[log]\nlevel = \"loud\"\n"))
	var keys []string
	for _, e := range configErrors {
		keys = append(keys, e.Key)
	}
	for _, want := range []string{"colour", "region", "failure_domain", "peer.listen", "bundle.trusted_keys", "bundle.approver_keys", "log.level"} {
		if !strings.Contains(" "+strings.Join(keys, " ")+" ", " "+want+" ") {
			t.Errorf("no error for %s in %v", want, keys)
		}
	}
}

// Guards against error messages that reveal a secret, since they are logged.
func TestErrorsHideTokens(t *testing.T) {
	_, configErrors := Parse("n.toml", []byte(minimalSettings+"[admin]\ntoken = \"se cret\"\n"))
	if len(configErrors) != 1 || strings.Contains(configErrors[0].Error(), "cret") {
		t.Errorf("got %v, want one error without the token", configErrors)
	}
}

func TestLoad(t *testing.T) {
	path := filepath.Join(t.TempDir(), "n.toml")
	if _, _, err := Load(path); err == nil {
		t.Error("no error for a missing file")
	}
	if err := os.WriteFile(path, []byte(minimalSettings), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, configErrors, err := Load(path); err != nil || len(configErrors) != 0 {
		t.Errorf("got %v, %v", configErrors, err)
	}
}
