// Package mpsettings reads and validates the settings of a VM's process.
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
	"mustardpost.org/core/process/mpmemory"
)

const (
	defaultLeaseMs           = 2000
	minLeaseMs               = 500
	maxLeaseMs               = 10_000
	defaultMaxRequests       = 2000
	maxRequestsLimit         = 20_000
	defaultMaxBodyBytes      = 1 << 20
	maxBodyBytesLimit        = 16 << 20
	defaultElectionTimeoutMs = 500
	minElectionTimeoutMs     = 100
	defaultSnapshotThreshold = 16 << 20
	minSecretLength          = 16
	minDefaultMemoryMB       = 256
	// requestOverheadBytes is what a request holds besides its body: its head and its connection.
	requestOverheadBytes = 64 << 10
)

// Voter names a VM that holds replicated state.
type Voter struct {
	VM          string `json:"vm"`
	PeerAddress string `json:"peer"`
}

// Token authenticates an operator.
type Token struct {
	Who string `json:"who"`
	// Hash is the SHA-256 of the token in hex.
	Hash string `json:"hash"`
}

// Settings holds the settings of one process. Times are in ms, sizes in bytes.
type Settings struct {
	VM              string `json:"vm"`
	DC              string `json:"dc"`
	CallerAddress   string `json:"caller"`
	OperatorAddress string `json:"operator"`
	PeerAddress     string `json:"peer"`
	// PeerBindAddress is the address to listen on for peers, if it differs from
	// PeerAddress, the address that is advertised to them.
	PeerBindAddress string  `json:"bind,omitempty"`
	Voters          []Voter `json:"voters"`
	DataDir         string  `json:"data,omitempty"`
	Secret          string  `json:"secret"`
	Tokens          []Token `json:"tokens"`
	// LeaseMs must be the same on all voters.
	LeaseMs           int `json:"lease,omitempty"`
	ElectionTimeoutMs int `json:"election,omitempty"`
	MaxRequests       int `json:"requests,omitempty"`
	MaxBodyBytes      int `json:"body,omitempty"`
	// MemoryMB is what callers and operators may hold, in MB. By default it is so much that
	// MaxRequests requests with the largest body fit, also if one client sends all of them.
	MemoryMB int `json:"memory,omitempty"`
	// SnapshotThreshold is the size of the log file, in bytes, that triggers a snapshot.
	SnapshotThreshold int    `json:"segment,omitempty"`
	PlatformURL       string `json:"platform,omitempty"`
	LogLevel          string `json:"log,omitempty"`
	// Strict makes the process panic on a violated invariant.
	Strict bool `json:"strict,omitempty"`
	// Baseline replaces the routing and admission policies with round-robin and FIFO
	// queues, for comparison.
	Baseline bool `json:"baseline,omitempty"`
}

// LeaseDuration returns LeaseMs as a duration.
func (s Settings) LeaseDuration() time.Duration { return time.Duration(s.LeaseMs) * time.Millisecond }

// ElectionTimeout returns ElectionTimeoutMs as a duration.
func (s Settings) ElectionTimeout() time.Duration {
	return time.Duration(s.ElectionTimeoutMs) * time.Millisecond
}

// MemoryBytes returns MemoryMB in bytes.
func (s Settings) MemoryBytes() int64 { return int64(s.MemoryMB) << 20 }

// memoryFor returns the smallest MemoryMB with which one client may send n requests with the largest body
// at once.
func (s Settings) memoryFor(n int) int {
	bytes := mpmemory.BytesFor(int64(n) * (mpmemory.HeldCopies*int64(s.MaxBodyBytes) + requestOverheadBytes))
	return int((bytes + 1<<20 - 1) >> 20)
}

// PeerListenAddress returns the address that the process listens on for peers.
func (s Settings) PeerListenAddress() string {
	if s.PeerBindAddress != "" {
		return s.PeerBindAddress
	}
	return s.PeerAddress
}

// LocalIP returns the local IP address for calls to peers, or nil if any may be used.
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
		out[i] = v.PeerAddress
	}
	return out
}

// Problem describes one invalid setting.
type Problem struct {
	Key     string
	Value   string
	Allowed string
}

// Error lists all problems of a settings file, one per line. It wraps ErrInvalid.
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

// Read returns the validated settings in file, or an *Error that lists their problems. On a
// voter it also checks that the data directory is writable, and creates it if needed.
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
		problems = checkDataDir(s.DataDir)
	}
	if len(problems) > 0 {
		return Settings{}, &Error{file, problems}
	}
	return s, nil
}

// Parse returns the settings in data with defaults filled in, and their problems.
func Parse(data []byte) (Settings, []Problem) {
	s := Settings{
		LeaseMs:           defaultLeaseMs,
		ElectionTimeoutMs: defaultElectionTimeoutMs,
		MaxRequests:       defaultMaxRequests,
		MaxBodyBytes:      defaultMaxBodyBytes,
		SnapshotThreshold: defaultSnapshotThreshold,
		LogLevel:          "info",
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return s, []Problem{decodeProblem(err)}
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return s, []Problem{{"file", "followed by more text", "one JSON object"}}
	}
	if s.MemoryMB == 0 {
		s.MemoryMB = max(s.memoryFor(s.MaxRequests), minDefaultMemoryMB)
	}
	return s, s.check()
}

func decodeProblem(err error) Problem {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return Problem{typeErr.Field, "a " + typeErr.Value, "a " + typeErr.Type.String()}
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
		c.add(key, fmt.Sprintf("%q", value), "an IP address and a port, such as 127.0.0.1:8000")
	}
}

func (c *checker) inRange(key string, value, low, high int) {
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
	c.address("caller", s.CallerAddress)
	c.address("operator", s.OperatorAddress)
	c.address("peer", s.PeerAddress)
	if s.PeerBindAddress != "" {
		c.address("bind", s.PeerBindAddress)
	}
	s.checkVoters(&c)
	if len(s.Secret) < minSecretLength {
		c.add("secret", fmt.Sprintf("%d characters long", len(s.Secret)), "at least 16 characters, the same on all VMs")
	}
	if len(s.Tokens) == 0 {
		c.add("tokens", "empty", "one or more {who, hash}")
	}
	for i, t := range s.Tokens {
		c.name(fmt.Sprintf("tokens[%d].who", i), t.Who)
		c.hash(fmt.Sprintf("tokens[%d].hash", i), t.Hash)
	}
	c.inRange("lease", s.LeaseMs, minLeaseMs, maxLeaseMs)
	c.inRange("election", s.ElectionTimeoutMs, minElectionTimeoutMs, s.LeaseMs/2)
	c.inRange("requests", s.MaxRequests, 1, maxRequestsLimit)
	c.inRange("body", s.MaxBodyBytes, 1, maxBodyBytesLimit)
	if least := s.memoryFor(1); s.MemoryMB < least && s.MaxBodyBytes <= maxBodyBytesLimit {
		c.add("memory", fmt.Sprint(s.MemoryMB), fmt.Sprintf("%d or more, so that there is room for one largest body", least))
	}
	c.inRange("segment", s.SnapshotThreshold, 1<<16, 1<<30)
	if u, err := url.Parse(s.PlatformURL); s.PlatformURL != "" && (err != nil || u.Scheme != "http" || u.Host == "") {
		c.add("platform", fmt.Sprintf("%q", s.PlatformURL), "an http URL")
	}
	switch s.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		c.add("log", fmt.Sprintf("%q", s.LogLevel), "debug, info, warn or error")
	}
	return c.problems
}

func (s Settings) checkVoters(c *checker) {
	if len(s.Voters) == 0 {
		c.add("voters", "empty", "the VMs that hold replicated state, preferably 3 or 5")
	}
	seen := map[string]bool{}
	for i, v := range s.Voters {
		c.name(fmt.Sprintf("voters[%d].vm", i), v.VM)
		c.address(fmt.Sprintf("voters[%d].peer", i), v.PeerAddress)
		if seen[v.VM] {
			c.add(fmt.Sprintf("voters[%d].vm", i), fmt.Sprintf("%q again", v.VM), "each VM once")
		}
		seen[v.VM] = true
		if v.VM == s.VM && v.PeerAddress != s.PeerAddress {
			c.add("peer", fmt.Sprintf("%q", s.PeerAddress), "the address that voters lists for this VM, "+v.PeerAddress)
		}
	}
	switch {
	case s.IsVoter() && s.DataDir == "":
		c.add("data", "missing", "a directory, because this VM is a voter")
	case !s.IsVoter() && s.DataDir != "":
		c.add("data", fmt.Sprintf("%q", s.DataDir), "no value, because this VM is not a voter")
	}
}

// checkDataDir creates the data directory if needed and reports a problem if it is not
// writable.
func checkDataDir(dir string) []Problem {
	problem := func(err error) []Problem {
		return []Problem{{"data", fmt.Sprintf("%q: %v", dir, err), "a writable directory"}}
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
