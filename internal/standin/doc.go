// Package standin holds small fakes of what pathhead meets outside: model
// engines, plain services, kept KV stores, the table service, the object store
// and the VM list.
//
// They are honest where pathhead's decisions depend on them and crude
// elsewhere. Every fake keeps a log of what it ran, which tests use as the
// oracle, and takes faults by flag and by POST /standin/faults.
package standin
