package mpsample

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"mustardpost.org/core/common/mperror"
	"mustardpost.org/core/common/mpname"
	"mustardpost.org/core/process/mpsettings"
	"mustardpost.org/core/version/mpcatalogue"
	"mustardpost.org/mustardfake/internal/mpfake"
	"mustardpost.org/mustardfake/internal/mpload"
)

const (
	// Token is the operators' token in all samples.
	Token  = "sample-operator-token"
	secret = "sample-secret-of-the-peers"

	portsPerVM   = 4
	relayFrom    = 11
	callerPort   = 0
	operatorPort = 1
	peerPort     = 2
	bindPort     = 3
	fakesFrom    = 200
	controlPort  = 199
	fileMode     = 0o600
)

// Options changes a sample.
type Options struct {
	// Port is the first port to use; a sample takes fewer than 400.
	Port int
	// Relay puts each VM on an IP number of its own, and lets it listen for
	// peers one port above the address that it tells them, so that a relay can
	// stand between.
	Relay bool
	// Strict stops processes on a breach of an invariant.
	Strict bool
	// Baseline selects the baseline policies.
	Baseline bool
	// Change edits the fakes, where not nil.
	Change func(*mpfake.Config)
}

// Layout tells where a written sample is.
type Layout struct {
	Dir       string
	VMs       []mpsettings.Settings
	Files     []string
	Catalogue string
	Fakes     string
	Load      string
	Control   string
	Profile   mpload.Profile
	DCs       []string
	Upstreams []mpcatalogue.Upstream
}

func address(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// Write writes the sample called name below dir.
func Write(dir, name string, o Options) (Layout, error) {
	shape, ok := shapes()[name]
	if !ok {
		return Layout{}, mperror.Wrap(mperror.ErrInvalid, "sample %q is none of %v", name, Names())
	}
	l := Layout{Dir: dir, Control: address(o.Port + controlPort), DCs: shape.dcs}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return l, mperror.Wrap(err, "create folder")
	}
	l.VMs = shape.settings(dir, o)
	for _, s := range l.VMs {
		file := filepath.Join(dir, s.VM+".json")
		if err := writeJSON(file, s); err != nil {
			return l, err
		}
		l.Files = append(l.Files, file)
	}
	doc, fakes := shape.catalogue(o)
	l.Upstreams = doc.Upstreams
	l.Profile = shape.profile(l)
	l.Catalogue = filepath.Join(dir, "catalogue.json")
	l.Fakes = filepath.Join(dir, "fakes.json")
	l.Load = filepath.Join(dir, "load.json")
	for file, v := range map[string]any{l.Catalogue: doc, l.Fakes: fakes, l.Load: l.Profile} {
		if err := writeJSON(file, v); err != nil {
			return l, err
		}
	}
	return l, nil
}

func writeJSON(file string, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return mperror.Wrap(err, "encode %s", file)
	}
	return mperror.Wrap(os.WriteFile(file, append(data, '\n'), fileMode), "write sample")
}

// settings spreads the VMs over the data centres; the first ones vote.
func (s Shape) settings(dir string, o Options) []mpsettings.Settings {
	list := make([]mpsettings.Settings, s.vms)
	var voters []mpsettings.Voter
	for i := range list {
		port := o.Port + i*portsPerVM
		vm := fmt.Sprintf("vm%d", i+1)
		list[i] = mpsettings.Settings{
			VM:              vm,
			DC:              s.dcs[i%len(s.dcs)],
			CallerAddress:   address(port + callerPort),
			OperatorAddress: address(port + operatorPort),
			PeerAddress:     address(port + peerPort),
			Secret:          secret,
			Tokens:          []mpsettings.Token{{Who: "operator", Hash: mpname.Hash(Token)}},
			Strict:          o.Strict,
			Baseline:        o.Baseline,
		}
		if o.Relay {
			own := fmt.Sprintf("127.0.0.%d", relayFrom+i)
			list[i].PeerAddress = fmt.Sprintf("%s:%d", own, port+peerPort)
			list[i].PeerBindAddress = fmt.Sprintf("%s:%d", own, port+bindPort)
		}
		if i < s.voters {
			list[i].DataDir = filepath.Join(dir, "data", vm)
			voters = append(voters, mpsettings.Voter{VM: vm, PeerAddress: list[i].PeerAddress})
		}
	}
	for i := range list {
		list[i].Voters = voters
	}
	return list
}

func (s Shape) catalogue(o Options) (mpcatalogue.Document, []mpfake.Config) {
	doc := mpcatalogue.Document{Classes: s.classes}
	var fakes []mpfake.Config
	for _, from := range s.dcs {
		dc := mpcatalogue.DC{Name: from, Region: s.name}
		for _, to := range s.dcs {
			if to != from {
				link := s.link
				link.To = to
				dc.Links = append(dc.Links, link)
			}
		}
		doc.DCs = append(doc.DCs, dc)
	}
	port := o.Port + fakesFrom
	for _, p := range s.pools {
		doc.Pools = append(doc.Pools, p.pool)
		for _, dc := range s.dcs {
			for i := range p.perDC {
				name := fmt.Sprintf("%s-%s-%d", p.pool.Name, dc, i+1)
				doc.Upstreams = append(doc.Upstreams, mpcatalogue.Upstream{
					Name: name, Pool: p.pool.Name, DC: dc, Address: address(port),
				})
				fake := p.fake
				fake.Name, fake.Address = name, address(port)
				if o.Change != nil {
					o.Change(&fake)
				}
				fakes = append(fakes, fake)
				port++
			}
		}
	}
	for _, a := range s.accounts {
		doc.Accounts = append(doc.Accounts, mpcatalogue.Account{Name: a.Name, KeyHash: mpname.Hash(a.Key), Weight: 1})
	}
	for _, e := range s.entries {
		doc.Entries = append(doc.Entries, e.entry)
	}
	return doc, fakes
}

func (s Shape) profile(l Layout) mpload.Profile {
	p := mpload.Profile{Accounts: s.accounts, Ledgers: []string{l.Control}, Rate: s.rate, Resend: 3, Seed: 1}
	for _, vm := range l.VMs {
		p.Addresses = append(p.Addresses, vm.CallerAddress)
	}
	for _, e := range s.entries {
		p.Entries = append(p.Entries, e.load)
	}
	return p
}
