package mplead

import (
	"time"

	"mustardpost.org/core/common/mpflate"
	"mustardpost.org/core/connection/mpwire"
	"mustardpost.org/core/version/mplist"
)

const (
	// listEncodingAge is how long an encoded list is sent to further VMs. The cold starts in it
	// end that much later at the most.
	listEncodingAge = 100 * time.Millisecond
	// maxKeptLists is the number of earlier lists from which VMs get only the changes.
	maxKeptLists = 8
)

// encodings are the parts of replies that many VMs get, encoded once for all of them. The zero value
// has none. It is not safe for concurrent use.
type encodings struct {
	// list is the one with hash listHash as it was encoded at listAt, and packedList its
	// compressed form, made when it is first needed.
	list, packedList []byte
	listHash         uint64
	listAt           time.Time
	// view is the encoded view that packedView is the compressed form of.
	view, packedView []byte
	// kept are the earlier lists, oldest first, and patches the changes from those with these
	// hashes to the list with patchedHash.
	kept        []*mplist.List
	patches     map[uint64][]byte
	patchedHash uint64
}

// keep remembers a list that VMs may have.
func (e *encodings) keep(list *mplist.List) {
	if list.Hash() == 0 {
		return
	}
	e.kept = append(e.kept, list)
	e.kept = e.kept[max(len(e.kept)-maxKeptLists, 0):]
}

// addList adds the list to a reply, in the shortest form that the VM reads.
func (e *encodings) addList(now time.Time, reply *mpwire.RenewReply, r *mpwire.RenewRequest, list *mplist.List) error {
	if r.GetPacks() {
		patch, err := e.patch(r.GetListed(), list)
		if err != nil || patch != nil {
			reply.Patch = patch
			return err
		}
	}
	if e.listHash != list.Hash() || now.Sub(e.listAt) >= listEncodingAge {
		data, err := list.Encode(now)
		if err != nil {
			return err
		}
		e.list, e.packedList, e.listHash, e.listAt = data, nil, list.Hash(), now
	}
	if !r.GetPacks() {
		reply.Upstreams = e.list
		return nil
	}
	if e.packedList == nil {
		e.packedList = mpflate.Pack(e.list)
	}
	reply.Packed = e.packedList
	return nil
}

// patch returns the compressed changes from the list with the given hash, or nil if it is not known.
func (e *encodings) patch(from uint64, list *mplist.List) ([]byte, error) {
	if e.patchedHash != list.Hash() {
		e.patchedHash, e.patches = list.Hash(), map[uint64][]byte{}
	}
	if patch, ok := e.patches[from]; ok {
		return patch, nil
	}
	var encoded []byte
	for _, old := range e.kept {
		if old.Hash() != from {
			continue
		}
		p, ok := list.PatchFrom(old)
		if !ok {
			continue
		}
		data, err := p.Encode()
		if err != nil {
			return nil, err
		}
		encoded = mpflate.Pack(data)
	}
	e.patches[from] = encoded
	return encoded, nil
}

// packView returns the compressed form of an encoded view.
func (e *encodings) packView(view []byte) []byte {
	if len(e.view) == 0 || &e.view[0] != &view[0] {
		e.view, e.packedView = view, mpflate.Pack(view)
	}
	return e.packedView
}
