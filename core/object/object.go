package object

import "encoding/json"

// MaxValueBytes is the largest value in bytes.
const MaxValueBytes = 1 << 20

// Paths of the platform's HTTP interface.
const (
	ObjectsPath = "/v1/objects/" // GET, PUT ?version=N, DELETE; GET ?watch=N waits for a version above N
	VMsPath     = "/v1/vms"      // GET
)

// VersionHeader carries an object's version; 0 stands for absent.
const VersionHeader = "Object-Version"

// Object is a versioned value.
type Object struct {
	Name    string          `json:"name"`
	Version int64           `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// Role says what a VM is for.
type Role string

// The roles of VMs.
const (
	EntryRole  Role = "entry"
	TargetRole Role = "target"
)

// VM is a line of the platform's VM list.
type VM struct {
	Name          string `json:"name"`
	Role          Role   `json:"role"`
	Address       string `json:"address"` // peer address of an entry VM, search address of a target
	FailureDomain string `json:"failureDomain"`
	Leaving       bool   `json:"leaving,omitempty"`
}

// VMList is the platform's list.
type VMList struct {
	VMs []VM `json:"vms"`
}
