package wick

import (
	"context"
	"time"
)

// A VMState is the lifecycle state of a VM as the cloud lists it.
type VMState string

// States of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// A VMRole is the kind of process that runs on a VM.
type VMRole string

// Roles of a VM.
const (
	RoleEntry    VMRole = "entry"
	RoleEndpoint VMRole = "endpoint"
)

// A VM is one machine in the cloud's VM list. The list is eventually
// consistent.
type VM struct {
	ID       VMID           `json:"id"`
	Role     VMRole         `json:"role"`
	Zone     Zone           `json:"zone"`
	Class    Class          `json:"class,omitempty"`
	Service  Service        `json:"service,omitempty"`
	Versions []ModelVersion `json:"versions,omitempty"`
	// Address is "host:port": the endpoint's HTTP address, or the peer
	// address of an entry.
	Address string  `json:"address"`
	State   VMState `json:"state"`
	// ReclaimAt is zero unless a reclaim has been announced.
	ReclaimAt   time.Time `json:"reclaimAt,omitzero"`
	Price       Price     `json:"price,omitempty"`
	Reclaimable bool      `json:"reclaimable,omitempty"`
}

// A StartOrder requests a VM from the cloud.
type StartOrder struct {
	// Token makes the order idempotent: a repeat returns the same VM.
	Token       string       `json:"-"`
	Zone        Zone         `json:"zone"`
	Class       Class        `json:"class"`
	Service     Service      `json:"service"`
	Version     ModelVersion `json:"version"`
	Reclaimable bool         `json:"reclaimable"`
}

// A Cloud is the cloud's API for VMs. Errors are ErrNotFound, ErrBusy (start
// refused) or ErrUnavailable.
type Cloud interface {
	VMs(ctx context.Context) ([]VM, error)
	Start(ctx context.Context, ord StartOrder) (VM, error)
	Stop(ctx context.Context, vid VMID) error
}
