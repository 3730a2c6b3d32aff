// Package mpentry reads lists in which other writers may have left entries that cannot be decoded.
package mpentry

import (
	"encoding/json"
	"slices"

	"github.com/tidwall/gjson"

	"mustardpost.org/core/common/mperror"
)

// Decode decodes a JSON object into v, whose member for key should be of type []json.RawMessage. If the
// object cannot be decoded as a whole, as with an entry that is nested too deeply, the entries under
// key that are not valid JSON become null; the rest must still be valid, since an entry that is not
// closed takes others along. Errors wrap ErrBadResponse.
func Decode(object []byte, key string, v any) error {
	if err := json.Unmarshal(object, v); err == nil {
		return nil
	}
	list := gjson.GetBytes(object, key)
	if !list.IsArray() || list.Index == 0 {
		return mperror.Wrap(mperror.ErrBadResponse, "no list of entries")
	}
	entries := []json.RawMessage{}
	list.ForEach(func(_, entry gjson.Result) bool {
		raw := json.RawMessage(entry.Raw)
		if !json.Valid(raw) {
			raw = json.RawMessage("null")
		}
		entries = append(entries, raw)
		return true
	})
	sound, err := json.Marshal(entries)
	if err != nil {
		return mperror.Wrap(mperror.ErrBadResponse, "encode sound entries: %v", err)
	}
	whole := slices.Concat(object[:list.Index], sound, object[list.Index+len(list.Raw):])
	if err := json.Unmarshal(whole, v); err != nil {
		return mperror.Wrap(mperror.ErrBadResponse, "decode list of entries: %v", err)
	}
	return nil
}
