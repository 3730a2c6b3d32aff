package mpproxy

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// sharedParts returns the parts of the prompt that other requests may have too. The last
// part belongs to the request or its session.
func (r *Request) sharedParts() []PromptPart {
	return r.Prompt[:max(len(r.Prompt)-1, 0)]
}

// contentHash identifies what is equal when a caller sends a request again.
func (r *Request) contentHash() uint64 {
	h := xxhash.New()
	for _, s := range []string{r.Method, r.Host, r.Target, r.APIKey} {
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(r.Body)
	return h.Sum64()
}

// partNames returns the IDs of parts for the log.
func partNames(parts []PromptPart) string {
	names := make([]string, len(parts))
	for i, p := range parts {
		names[i] = p.ID
	}
	return strings.Join(names, ",")
}
