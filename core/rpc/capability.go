package rpc

import "slices"

// Capability names something that a build understands and builds before it do not. A name is never used again with another meaning.
type Capability string

// NamedTargets says that a VM calls exactly the targets that a Gather names, once each, answers with the Response of a target, and knows
// fanout.Unreached.
const NamedTargets Capability = "namedTargets"

// LendsBudget says that a VM makes the calls of a Gather with Pays only as far as its own budgets of extra calls allow.
const LendsBudget Capability = "lendsBudget"

// RecordLimit says that a VM merges the records of a Gather within the limit that the message states, instead of that of its own version of the route.
const RecordLimit Capability = "recordLimit"

// maxCapabilities bounds the capabilities in a greeting.
const maxCapabilities = 256

// OwnCapabilities returns the capabilities of this build.
func OwnCapabilities() []Capability { return []Capability{NamedTargets, LendsBudget, RecordLimit} }

// Hello names the VM at the other end of a link, its build and its capabilities. The first builds send neither build nor capabilities.
type Hello struct {
	VM           string       `json:"vm"`
	Incarnation  int64        `json:"incarnation"`
	Build        string       `json:"build,omitempty"` // version of the program, for operators only
	Capabilities []Capability `json:"can,omitempty"`
}

// Can reports whether the VM has all of some capabilities.
func (hello Hello) Can(needed ...Capability) bool {
	return !slices.ContainsFunc(needed, func(capability Capability) bool { return !slices.Contains(hello.Capabilities, capability) })
}

// Validate checks a decoded greeting.
func (hello Hello) Validate() error {
	if hello.VM == "" || len(hello.Capabilities) > maxCapabilities {
		return invalid("hello", "vm %q with %d capabilities", hello.VM, len(hello.Capabilities))
	}
	return nil
}
