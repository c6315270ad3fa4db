// Package standin provides fakes of the systems that pathhead talks to: model
// engines, plain services, stores of exported KV cache, the table service, the
// object store and the platform's list of VMs.
//
// The fakes are accurate where pathhead's decisions depend on their behaviour and
// simplified elsewhere. Engines and services log every request that they run,
// which tests use as their oracle. Faults are injected by flags and by
// POST /standin/faults.
package standin
