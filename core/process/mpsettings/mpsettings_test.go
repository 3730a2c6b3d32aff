package mpsettings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const validSettings = `{
  "vm": "a1", "dc": "a", "caller": "127.0.0.1:1", "operator": "127.0.0.1:2", "peer": "127.0.0.1:3",
  "voters": [{"vm": "b1", "peer": "127.0.0.1:6"}],
  "secret": "0123456789abcdef",
  "tokens": [{"who": "ana", "hash": "` + hash + `"}]
}`

const hash = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

func TestParse(t *testing.T) {
	cases := []struct {
		name     string
		old, new string
		want     []string
	}{
		{"good", "", "", nil},
		{"unknown key", `"dc"`, `"zone"`, []string{`"zone" is unknown; allowed: the keys in docs/OPERATE.md`}},
		{"wrong type", `"a1"`, `7`, []string{`vm is a number; allowed: a string`}},
		{"malformed JSON", `{
  "vm"`, `{ "vm`, []string{`file is invalid character 'a' after object key; allowed: valid JSON`}},
		{"bad address", `127.0.0.1:1`, `localhost:1`, []string{`caller is "localhost:1"; allowed: an IP address and a port, such as 127.0.0.1:8000`}},
		{"short secret", `0123456789abcdef",`, `short",`, []string{`secret is 5 characters long; allowed: at least 16 characters, the same on all VMs`}},
		{"bad hash", `"` + hash, `"12`, []string{`tokens[0].hash is "12"; allowed: the hex SHA-256 of the token`}},
		{"voter without data", `"b1"`, `"a1"`, []string{
			`peer is "127.0.0.1:3"; allowed: the address that voters lists for this VM, 127.0.0.1:6`,
			`data is missing; allowed: a directory, because this VM is a voter`,
		}},
		{"data on a VM that is not a voter", `"dc": "a"`, `"dc": "a", "data": "x"`, []string{`data is "x"; allowed: no value, because this VM is not a voter`}},
		{"lease and election", `"dc": "a"`, `"dc": "a", "lease": 600, "election": 500`, []string{`election is 500; allowed: 100 to 300`}},
		{"memory for one largest body", `"dc": "a"`, `"dc": "a", "body": 4194304, "memory": 25`, nil},
		{"too little memory for one largest body", `"dc": "a"`, `"dc": "a", "body": 4194304, "memory": 24`, []string{
			`memory is 24; allowed: 25 or more, so that there is room for one largest body`,
		}},
		{"negative memory", `"dc": "a"`, `"dc": "a", "memory": -1`, []string{`memory is -1; allowed: 7 or more, so that there is room for one largest body`}},
		{"two problems at once", `"vm": "a1", "dc": "a"`, `"vm": "A", "dc": ""`, []string{
			`vm is "A"; allowed: 1 to 63 of a-z, 0-9, dot, hyphen, underscore`,
			`dc is ""; allowed: 1 to 63 of a-z, 0-9, dot, hyphen, underscore`,
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, problems := Parse([]byte(strings.Replace(validSettings, c.old, c.new, 1)))
			var got []string
			for _, p := range problems {
				got = append(got, p.Key+" is "+p.Value+"; allowed: "+p.Allowed)
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("problems (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a default that refuses requests which `requests` and `body` allow.
func TestDefaultMemory(t *testing.T) {
	for text, want := range map[string]int{
		`"dc": "a"`:                 12250,
		`"dc": "a", "requests": 10`: minDefaultMemoryMB,
		`"dc": "a", "requests": 100, "body": 16777216`: 9613,
		`"dc": "a", "memory": 36`:                      36,
	} {
		s, problems := Parse([]byte(strings.Replace(validSettings, `"dc": "a"`, text, 1)))
		if s.MemoryMB != want || len(problems) > 0 {
			t.Errorf("with %s memory is %d, want %d; problems %v", text, s.MemoryMB, want, problems)
		}
	}
}

func TestReadUnwritableDataDir(t *testing.T) {
	dir := t.TempDir()
	blocker := filepath.Join(dir, "file")
	if err := os.WriteFile(blocker, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	text := strings.Replace(validSettings, `"b1", "peer": "127.0.0.1:6"`, `"a1", "peer": "127.0.0.1:3"`, 1)
	text = strings.Replace(text, `"dc": "a"`, `"dc": "a", "data": "`+blocker+`/data"`, 1)
	file := filepath.Join(dir, "a1.json")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Read(file); err == nil || !strings.HasPrefix(err.Error(), file+": data is") {
		t.Errorf("error %v, want one that starts with the file and the key", err)
	}
}
