package mpstate

import (
	"cmp"
	"maps"
	"slices"
)

// Action tells what an order asks of an upstream.
type Action string

const (
	// Load asks to load a model, an adapter or a version.
	Load Action = "load"
	// Unload asks to drop one.
	Unload Action = "unload"
	// Role asks to change role.
	Role Action = "role"
)

// Order asks an upstream to change what it serves. A newer order for the same
// upstream replaces one that is not done.
type Order struct {
	ID       string `json:"id"`
	Who      string `json:"who"`
	Upstream string `json:"upstream"`
	Action   Action `json:"action"`
	// Name is the model, adapter, version or role.
	Name string `json:"name"`
}

// OrderCompletion notes that the upstream has carried out the order with this fencing
// number, or refused it for good.
type OrderCompletion struct {
	Upstream string `json:"upstream"`
	Fence    uint64 `json:"fence"`
	Refused  bool   `json:"refused"`
}

func (Order) command()           {}
func (OrderCompletion) command() {}

// OrderState tells how far an order has come.
type OrderState string

const (
	// OrderPending waits to be sent, or for its answer.
	OrderPending OrderState = "pending"
	// OrderDone was carried out.
	OrderDone OrderState = "done"
	// OrderRefused was refused by the upstream.
	OrderRefused OrderState = "refused"
)

// OrderRecord is the last order of one upstream with its fencing number.
type OrderRecord struct {
	Order Order      `json:"order"`
	Fence uint64     `json:"fence"`
	State OrderState `json:"state"`
	At    int64      `json:"at"`
}

// orders holds the last order of each upstream. Fencing numbers grow by one
// over all of them and are never used again.
type orders struct {
	Last  map[string]OrderRecord `json:"last"`
	Fence uint64                 `json:"fence"`
}

func (o *orders) add(at int64, order Order) Result {
	switch order.Action {
	case Load, Unload, Role:
	default:
		return Result{Code: CodeInvalid, Text: "action is not load, unload or role"}
	}
	if have, ok := o.Last[order.Upstream]; ok && have.Order.ID == order.ID {
		return Result{Code: CodeDone, Revision: have.Fence}
	}
	if o.Last == nil {
		o.Last = map[string]OrderRecord{}
	}
	o.Fence++
	o.Last[order.Upstream] = OrderRecord{order, o.Fence, OrderPending, at}
	return Result{Code: CodeDone, Revision: o.Fence}
}

func (o *orders) carried(c OrderCompletion) Result {
	have, ok := o.Last[c.Upstream]
	if !ok || have.Fence != c.Fence {
		return Result{Code: CodeNotFound, Text: "another order has replaced it"}
	}
	have.State = OrderDone
	if c.Refused {
		have.State = OrderRefused
	}
	o.Last[c.Upstream] = have
	return Result{Code: CodeDone}
}

// Orders returns the last order of each upstream, oldest fencing number first.
func (m *Machine) Orders() []OrderRecord {
	m.mu.RLock()
	defer m.mu.RUnlock()
	list := slices.Collect(maps.Values(m.orders.Last))
	slices.SortFunc(list, func(a, b OrderRecord) int { return cmp.Compare(a.Fence, b.Fence) })
	return list
}
