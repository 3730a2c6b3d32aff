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
	// OperatorToken is the operator token in all samples.
	OperatorToken = "sample-operator-token"
	peerSecret    = "sample-secret-of-the-peers"

	portsPerVM         = 4
	firstRelayHost     = 11
	callerPortOffset   = 0
	operatorPortOffset = 1
	peerPortOffset     = 2
	bindPortOffset     = 3
	fakePortOffset     = 200
	controlPortOffset  = 199
	fileMode           = 0o600
)

// Options customizes a sample.
type Options struct {
	// Port is the first port to use. A sample uses fewer than 400 ports.
	Port int
	// Relay gives each VM its own IP address, and makes it listen for peers one
	// port above its advertised address, so that a relay can listen on the
	// advertised address and forward to it.
	Relay bool
	// Strict makes processes exit on a breach of an invariant.
	Strict bool
	// Baseline selects the baseline policies.
	Baseline bool
	// EditFake, if not nil, modifies the configuration of each fake upstream.
	EditFake func(*mpfake.Config)
}

// Layout describes the files and addresses of a written sample.
type Layout struct {
	Dir            string
	VMs            []mpsettings.Settings
	SettingsFiles  []string
	CatalogueFile  string
	FakesFile      string
	LoadFile       string
	ControlAddress string
	Profile        mpload.Profile
	DCs            []string
	Upstreams      []mpcatalogue.Upstream
}

func address(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// Write writes the named sample into the directory dir.
func Write(dir, name string, o Options) (Layout, error) {
	template, ok := templates()[name]
	if !ok {
		return Layout{}, mperror.Wrap(mperror.ErrInvalid, "unknown sample %q, must be one of %v", name, Names())
	}
	l := Layout{Dir: dir, ControlAddress: address(o.Port + controlPortOffset), DCs: template.dcs}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return l, mperror.Wrap(err, "create sample directory")
	}
	l.VMs = template.settings(dir, o)
	for _, s := range l.VMs {
		file := filepath.Join(dir, s.VM+".json")
		if err := writeJSON(file, s); err != nil {
			return l, err
		}
		l.SettingsFiles = append(l.SettingsFiles, file)
	}
	doc, fakes := template.catalogue(o)
	l.Upstreams = doc.Upstreams
	l.Profile = template.profile(l)
	l.CatalogueFile = filepath.Join(dir, "catalogue.json")
	l.FakesFile = filepath.Join(dir, "fakes.json")
	l.LoadFile = filepath.Join(dir, "load.json")
	for file, v := range map[string]any{l.CatalogueFile: doc, l.FakesFile: fakes, l.LoadFile: l.Profile} {
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
	return mperror.Wrap(os.WriteFile(file, append(data, '\n'), fileMode), "write sample file")
}

// settings returns the settings of the VMs. It distributes them over the data
// centres in turn and makes the first ones voters.
func (s Template) settings(dir string, o Options) []mpsettings.Settings {
	list := make([]mpsettings.Settings, s.vms)
	var voters []mpsettings.Voter
	for i := range list {
		port := o.Port + i*portsPerVM
		vm := fmt.Sprintf("vm%d", i+1)
		list[i] = mpsettings.Settings{
			VM:              vm,
			DC:              s.dcs[i%len(s.dcs)],
			CallerAddress:   address(port + callerPortOffset),
			OperatorAddress: address(port + operatorPortOffset),
			PeerAddress:     address(port + peerPortOffset),
			Secret:          peerSecret,
			Tokens:          []mpsettings.Token{{Who: "operator", Hash: mpname.Hash(OperatorToken)}},
			Strict:          o.Strict,
			Baseline:        o.Baseline,
		}
		if o.Relay {
			ip := fmt.Sprintf("127.0.0.%d", firstRelayHost+i)
			list[i].PeerAddress = fmt.Sprintf("%s:%d", ip, port+peerPortOffset)
			list[i].PeerBindAddress = fmt.Sprintf("%s:%d", ip, port+bindPortOffset)
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

func (s Template) catalogue(o Options) (mpcatalogue.Document, []mpfake.Config) {
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
	port := o.Port + fakePortOffset
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
				if o.EditFake != nil {
					o.EditFake(&fake)
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

func (s Template) profile(l Layout) mpload.Profile {
	p := mpload.Profile{Accounts: s.accounts, LedgerAddresses: []string{l.ControlAddress}, Rate: s.rate, MaxResends: 3, Seed: 1}
	for _, vm := range l.VMs {
		p.Addresses = append(p.Addresses, vm.CallerAddress)
	}
	for _, e := range s.entries {
		p.Entries = append(p.Entries, e.load)
	}
	return p
}
