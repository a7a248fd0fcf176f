package object

import "encoding/json"

// MaxValueBytes is the maximum size of an object's value.
const MaxValueBytes = 1 << 20

// Paths of the platform's HTTP API.
const (
	ObjectsPath = "/v1/objects/" // GET, DELETE, PUT ?version=N to replace version N only; GET ?watch=N waits for a version above N
	VMsPath     = "/v1/vms"      // GET
)

// VersionHeader is the HTTP header that carries an object's version; 0 means that the object does not exist.
const VersionHeader = "Object-Version"

// Object is a stored value with its name and version.
type Object struct {
	Name    string          `json:"name"`
	Version int64           `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// Role is the role of a VM.
type Role string

// The roles of VMs.
const (
	EntryRole  Role = "entry"
	TargetRole Role = "target"
)

// VM is an entry of the platform's VM list.
type VM struct {
	Name          string `json:"name"`
	Role          Role   `json:"role"`
	Address       string `json:"address"` // peer address of an entry VM, search address of a target
	FailureDomain string `json:"failureDomain"`
	Leaving       bool   `json:"leaving,omitempty"`
}

// VMList is the platform's list of VMs.
type VMList struct {
	VMs []VM `json:"vms"`
}
