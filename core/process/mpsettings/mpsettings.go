// Package mpsettings reads and checks the settings of a VM's process.
package mpsettings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"time"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/common/mpname"
)

const (
	defaultLease    = 2000
	leastLease      = 500
	mostLease       = 10_000
	defaultRequests = 2000
	mostRequests    = 20_000
	defaultBody     = 1 << 20
	mostBody        = 16 << 20
	defaultElection = 500
	leastElection   = 100
	defaultLog      = 16 << 20
	leastSecret     = 16
)

// Voter names a VM that holds replicated state.
type Voter struct {
	VM   string `json:"vm"`
	Peer string `json:"peer"`
}

// Token lets an operator in.
type Token struct {
	Who string `json:"who"`
	// Hash is the hex SHA-256 of the token.
	Hash string `json:"hash"`
}

// Settings are those of one process. Times are in ms, sizes in bytes.
type Settings struct {
	VM       string `json:"vm"`
	DC       string `json:"dc"`
	Caller   string `json:"caller"`
	Operator string `json:"operator"`
	Peer     string `json:"peer"`
	// Bind is where the process listens for peers when that differs from Peer,
	// the address that it tells them.
	Bind   string  `json:"bind,omitempty"`
	Voters []Voter `json:"voters"`
	Data   string  `json:"data,omitempty"`
	Secret string  `json:"secret"`
	Tokens []Token `json:"tokens"`
	// Lease must be the same at all voters.
	Lease    int    `json:"lease,omitempty"`
	Election int    `json:"election,omitempty"`
	Requests int    `json:"requests,omitempty"`
	Body     int    `json:"body,omitempty"`
	Segment  int    `json:"segment,omitempty"`
	Platform string `json:"platform,omitempty"`
	Log      string `json:"log,omitempty"`
	Strict   bool   `json:"strict,omitempty"`
	// Baseline replaces the routing and admission policies by round-robin and
	// first-come queues, for comparisons.
	Baseline bool `json:"baseline,omitempty"`
}

// LeaseDuration returns the lease as a duration.
func (s Settings) LeaseDuration() time.Duration { return time.Duration(s.Lease) * time.Millisecond }

// ElectionTimeout returns the election timeout as a duration.
func (s Settings) ElectionTimeout() time.Duration {
	return time.Duration(s.Election) * time.Millisecond
}

// PeerListenAddress returns where the process listens for peers.
func (s Settings) PeerListenAddress() string {
	if s.Bind != "" {
		return s.Bind
	}
	return s.Peer
}

// LocalIP returns the IP number from which the process calls its peers.
func (s Settings) LocalIP() net.IP {
	a, err := netip.ParseAddrPort(s.PeerListenAddress())
	if err != nil || a.Addr().IsUnspecified() {
		return nil
	}
	return a.Addr().AsSlice()
}

// IsVoter reports whether this VM holds replicated state.
func (s Settings) IsVoter() bool {
	for _, v := range s.Voters {
		if v.VM == s.VM {
			return true
		}
	}
	return false
}

// VoterPeers returns the peer addresses of the voters.
func (s Settings) VoterPeers() []string {
	out := make([]string, len(s.Voters))
	for i, v := range s.Voters {
		out[i] = v.Peer
	}
	return out
}

// Problem is one setting that does not fit.
type Problem struct {
	Key     string
	Value   string
	Allowed string
}

// Error is the list of all problems of a settings file, one a line. It wraps
// ErrInvalid.
type Error struct {
	File     string
	Problems []Problem
}

func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = fmt.Sprintf("%s: %s is %s; allowed: %s", e.File, p.Key, p.Value, p.Allowed)
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns ErrInvalid.
func (e *Error) Unwrap() error { return mperror.ErrInvalid }

// Read returns the checked settings in file, or an *Error that names all that
// is wrong with them.
func Read(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, &Error{file, []Problem{{"file", err.Error(), "a readable JSON file"}}}
	}
	s, problems := Parse(data)
	if len(problems) > 0 {
		return Settings{}, &Error{file, problems}
	}
	if s.IsVoter() {
		problems = checkFolder(s.Data)
	}
	if len(problems) > 0 {
		return Settings{}, &Error{file, problems}
	}
	return s, nil
}

// Parse returns the settings in data with defaults filled in, and what is
// wrong with them.
func Parse(data []byte) (Settings, []Problem) {
	s := Settings{
		Lease:    defaultLease,
		Election: defaultElection,
		Requests: defaultRequests,
		Body:     defaultBody,
		Segment:  defaultLog,
		Log:      "info",
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return s, []Problem{decodeProblem(err)}
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return s, []Problem{{"file", "followed by more text", "one JSON object"}}
	}
	return s, s.check()
}

func decodeProblem(err error) Problem {
	var kind *json.UnmarshalTypeError
	if errors.As(err, &kind) {
		return Problem{kind.Field, "a " + kind.Value, "a " + kind.Type.String()}
	}
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return Problem{name, "unknown", "the keys in docs/OPERATE.md"}
	}
	return Problem{"file", err.Error(), "valid JSON"}
}

type checker struct{ problems []Problem }

func (c *checker) add(key, value, allowed string) {
	c.problems = append(c.problems, Problem{key, value, allowed})
}

func (c *checker) name(key, value string) {
	if !mpname.IsValid(value) {
		c.add(key, fmt.Sprintf("%q", value), mpname.Allowed)
	}
}

func (c *checker) address(key, value string) {
	if a, err := netip.ParseAddrPort(value); err != nil || a.Port() == 0 {
		c.add(key, fmt.Sprintf("%q", value), "an IP number and a port, as in 127.0.0.1:8000")
	}
}

func (c *checker) between(key string, value, low, high int) {
	if value < low || value > high {
		c.add(key, fmt.Sprint(value), fmt.Sprintf("%d to %d", low, high))
	}
}

func (c *checker) hash(key, value string) {
	if !mpname.IsHash(value) {
		c.add(key, fmt.Sprintf("%q", value), "the hex SHA-256 of the token")
	}
}

func (s Settings) check() []Problem {
	var c checker
	c.name("vm", s.VM)
	c.name("dc", s.DC)
	c.address("caller", s.Caller)
	c.address("operator", s.Operator)
	c.address("peer", s.Peer)
	if s.Bind != "" {
		c.address("bind", s.Bind)
	}
	s.checkVoters(&c)
	if len(s.Secret) < leastSecret {
		c.add("secret", fmt.Sprintf("%d characters long", len(s.Secret)), "16 characters or more, the same at all VMs")
	}
	if len(s.Tokens) == 0 {
		c.add("tokens", "empty", "one or more {who, hash}")
	}
	for i, t := range s.Tokens {
		c.name(fmt.Sprintf("tokens[%d].who", i), t.Who)
		c.hash(fmt.Sprintf("tokens[%d].hash", i), t.Hash)
	}
	c.between("lease", s.Lease, leastLease, mostLease)
	c.between("election", s.Election, leastElection, s.Lease/2)
	c.between("requests", s.Requests, 1, mostRequests)
	c.between("body", s.Body, 1, mostBody)
	c.between("segment", s.Segment, 1<<16, 1<<30)
	if u, err := url.Parse(s.Platform); s.Platform != "" && (err != nil || u.Scheme != "http" || u.Host == "") {
		c.add("platform", fmt.Sprintf("%q", s.Platform), "an http address")
	}
	switch s.Log {
	case "debug", "info", "warn", "error":
	default:
		c.add("log", fmt.Sprintf("%q", s.Log), "debug, info, warn or error")
	}
	return c.problems
}

func (s Settings) checkVoters(c *checker) {
	if len(s.Voters) == 0 {
		c.add("voters", "empty", "the VMs that hold replicated state, best 3 or 5")
	}
	seen := map[string]bool{}
	for i, v := range s.Voters {
		c.name(fmt.Sprintf("voters[%d].vm", i), v.VM)
		c.address(fmt.Sprintf("voters[%d].peer", i), v.Peer)
		if seen[v.VM] {
			c.add(fmt.Sprintf("voters[%d].vm", i), fmt.Sprintf("%q again", v.VM), "each VM once")
		}
		seen[v.VM] = true
		if v.VM == s.VM && v.Peer != s.Peer {
			c.add("peer", fmt.Sprintf("%q", s.Peer), "the address that voters give this VM, "+v.Peer)
		}
	}
	switch {
	case s.IsVoter() && s.Data == "":
		c.add("data", "missing", "a folder, since this VM is a voter")
	case !s.IsVoter() && s.Data != "":
		c.add("data", fmt.Sprintf("%q", s.Data), "nothing, since this VM is not a voter")
	}
}

// checkFolder reports a data folder that cannot be written.
func checkFolder(dir string) []Problem {
	problem := func(err error) []Problem {
		return []Problem{{"data", fmt.Sprintf("%q: %v", dir, err), "a folder that can be written"}}
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return problem(err)
	}
	probe := filepath.Join(dir, "probe")
	if err := os.WriteFile(probe, nil, 0o600); err != nil {
		return problem(err)
	}
	if err := os.Remove(probe); err != nil {
		return problem(err)
	}
	return nil
}
