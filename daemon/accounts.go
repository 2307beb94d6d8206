package daemon

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"sort"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"wigeondale/admission"
	"wigeondale/callerapi"
	"wigeondale/directory"
	"wigeondale/fleet"
	"wigeondale/intent"
)

// accounts answers the account lookups of package callerapi from the configuration in
// force.
type accounts struct {
	view atomic.Pointer[accountView]
	dir  *directory.Directory
}

// accountView is a configuration state with an index that maps the hash of each API key to
// its client account.
type accountView struct {
	state *intent.State
	byKey map[[sha256.Size]byte]string
}

func newAccounts(dir *directory.Directory) *accounts {
	a := &accounts{dir: dir}
	a.set(intent.NewState())
	return a
}

func (a *accounts) set(s *intent.State) {
	v := &accountView{state: s, byKey: make(map[[sha256.Size]byte]string, len(s.Accounts))}
	for id, acc := range s.Accounts {
		for _, text := range acc.KeyHashes {
			var h [sha256.Size]byte
			if n, err := hex.Decode(h[:], []byte(text)); err != nil || n != len(h) {
				continue
			}
			v.byKey[h] = id
		}
	}
	a.view.Store(v)
}

// Authenticate finds the client account that owns an API key. The key is looked up by its
// hash, so that the duration of the lookup reveals nothing about how much of a guessed key
// is right. The comparison that follows the lookup takes constant time as well.
func (a *accounts) Authenticate(key string) (string, bool) {
	h := sha256.Sum256([]byte(key))
	v := a.view.Load()
	id, ok := v.byKey[h]
	if !ok {
		return "", false
	}
	for _, text := range v.state.Accounts[id].KeyHashes {
		if subtle.ConstantTimeCompare([]byte(text), []byte(hex.EncodeToString(h[:]))) == 1 {
			return id, true
		}
	}
	return "", false
}

// Resolve picks the version of a model for one request by a hash of sticky. Requests with
// the same sticky value get the same version as long as the model's traffic split and the
// set of its versions with engines stay the same.
func (a *accounts) Resolve(account, model, sticky string) (fleet.ModelRef, fleet.Priority, error) {
	s := a.view.Load().state
	t, ok := s.Traffic[model]
	if !ok {
		return fleet.ModelRef{}, fleet.Batch, callerapi.ErrUnknownModel
	}
	ref := pickVersion(t, a.serving, sticky)
	if !s.Allows(account, ref) {
		return fleet.ModelRef{}, fleet.Batch, callerapi.ErrForbidden
	}
	priority, err := fleet.ParsePriority(t.Priority)
	if err != nil {
		priority = fleet.Batch
	}
	return ref, priority, nil
}

func (a *accounts) serving(ref fleet.ModelRef) bool { return len(a.dir.Snapshot(ref)) > 0 }

func pickVersion(t intent.Traffic, serving func(fleet.ModelRef) bool, sticky string) fleet.ModelRef {
	weights := t.Effective(serving)
	point := int(xxhash.Sum64String(sticky) % 100)
	for _, w := range weights {
		point -= w.Percent
		if point < 0 {
			return fleet.ModelRef{Model: t.Model, Version: w.Version, Adapter: w.Adapter}
		}
	}
	return fleet.ModelRef{Model: t.Model}
}

// Models lists the models that an account may use.
func (a *accounts) Models(account string) []string {
	s := a.view.Load().state
	var names []string
	for _, access := range s.Access {
		if access.Account != account {
			continue
		}
		if _, ok := s.Traffic[access.Model]; ok {
			names = append(names, access.Model)
		}
	}
	sort.Strings(names)
	return names
}

// refs lists the versions of a model among which the configuration in force splits the
// model's traffic.
func (a *accounts) refs(model string) []fleet.ModelRef {
	t := a.view.Load().state.Traffic[model]
	refs := make([]fleet.ModelRef, 0, len(t.Weights))
	for _, w := range t.Weights {
		refs = append(refs, fleet.ModelRef{Model: model, Version: w.Version, Adapter: w.Adapter})
	}
	return refs
}

func limitsOf(s *intent.State) map[string]admission.Limit {
	limits := make(map[string]admission.Limit, len(s.Accounts))
	for id, acc := range s.Accounts {
		limits[id] = admission.Limit{
			TokensPerSecond: acc.TokensPerSecond,
			Burst:           acc.Burst,
			MaxConcurrent:   acc.MaxConcurrent,
		}
	}
	return limits
}
