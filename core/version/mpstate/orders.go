package mpstate

import (
	"cmp"
	"maps"
	"slices"
)

// Action is the operation that an order requests from an upstream.
type Action string

const (
	// ActionLoad loads a model, an adapter or a version.
	ActionLoad Action = "load"
	// ActionUnload unloads a model, an adapter or a version.
	ActionUnload Action = "unload"
	// ActionRole changes the role of the upstream.
	ActionRole Action = "role"
)

// Order instructs an upstream to change what it serves. A newer order for the
// same upstream replaces one that is still pending.
type Order struct {
	ID       string `json:"id"`
	Who      string `json:"who"`
	Upstream string `json:"upstream"`
	Action   Action `json:"action"`
	// Name is the name of the model, adapter, version or role.
	Name string `json:"name"`
}

// OrderCompletion records that the upstream has executed the order with this
// fencing number, or has permanently refused it.
type OrderCompletion struct {
	Upstream string `json:"upstream"`
	Fence    uint64 `json:"fence"`
	Refused  bool   `json:"refused"`
}

func (Order) command()           {}
func (OrderCompletion) command() {}

// OrderState is the progress of an order.
type OrderState string

const (
	// OrderPending means that the order is not sent yet or not answered yet.
	OrderPending OrderState = "pending"
	// OrderDone means that the upstream has executed the order.
	OrderDone OrderState = "done"
	// OrderRefused means that the upstream has refused the order.
	OrderRefused OrderState = "refused"
)

// OrderRecord is the latest order for an upstream, with its fencing number.
type OrderRecord struct {
	Order Order      `json:"order"`
	Fence uint64     `json:"fence"`
	State OrderState `json:"state"`
	At    int64      `json:"at"`
}

// orders holds the latest order for each upstream. Fencing numbers increase by
// one across all upstreams and are never reused.
type orders struct {
	Last  map[string]OrderRecord `json:"last"`
	Fence uint64                 `json:"fence"`
}

func (o *orders) add(at int64, order Order) Result {
	switch order.Action {
	case ActionLoad, ActionUnload, ActionRole:
	default:
		return Result{Code: CodeInvalid, Text: "action is not load, unload or role"}
	}
	if existing, ok := o.Last[order.Upstream]; ok && existing.Order.ID == order.ID {
		return Result{Code: CodeDone, Revision: existing.Fence}
	}
	if o.Last == nil {
		o.Last = map[string]OrderRecord{}
	}
	o.Fence++
	o.Last[order.Upstream] = OrderRecord{order, o.Fence, OrderPending, at}
	return Result{Code: CodeDone, Revision: o.Fence}
}

func (o *orders) complete(c OrderCompletion) Result {
	current, ok := o.Last[c.Upstream]
	if !ok || current.Fence != c.Fence {
		return Result{Code: CodeNotFound, Text: "another order has replaced it"}
	}
	current.State = OrderDone
	if c.Refused {
		current.State = OrderRefused
	}
	o.Last[c.Upstream] = current
	return Result{Code: CodeDone}
}

// Orders returns the latest order for each upstream, sorted by fencing number.
func (m *Machine) Orders() []OrderRecord {
	m.mu.RLock()
	defer m.mu.RUnlock()
	list := slices.Collect(maps.Values(m.orders.Last))
	slices.SortFunc(list, func(a, b OrderRecord) int { return cmp.Compare(a.Fence, b.Fence) })
	return list
}
