// Command pathhead-fleet reconciles the weights loaded on the engines of each
// pool with the configuration.
package main

import (
	"net/netip"
	"time"

	"github.com/pathhead/pathhead/controller"
	"github.com/pathhead/pathhead/internal/cli"
	"github.com/pathhead/pathhead/wire"
)

type flags struct {
	cli.CommonFlags
	cli.CredentialFlags
	Name        string           `help:"Name of this process, unique among all." required:"" env:"PATHHEAD_NAME"`
	Operators   netip.AddrPort   `help:"Address of the operators' door." default:"127.0.0.1:8181" env:"PATHHEAD_OPERATORS"`
	Peers       netip.AddrPort   `help:"Address of the peers' door." default:"127.0.0.1:8182" env:"PATHHEAD_PEERS"`
	Seeds       []netip.AddrPort `help:"Peers' doors of routers." env:"PATHHEAD_SEEDS" sep:","`
	Table       string           `help:"URL of the table service." required:"" env:"PATHHEAD_TABLE"`
	TableName   string           `help:"Name of the table." default:"pathhead" env:"PATHHEAD_TABLE_NAME"`
	VMs         string           `name:"vms" help:"URL of the VM list." required:"" env:"PATHHEAD_VMS"`
	Lease       time.Duration    `help:"Length of a pool's lease (3s to 1m)." default:"6s" env:"PATHHEAD_LEASE"`
	Every       time.Duration    `help:"Time between rounds of planning (100ms to 10s)." default:"500ms" env:"PATHHEAD_EVERY"`
	GossipEvery time.Duration    `help:"Time between rounds of gossip (50ms to 10s)." default:"400ms" env:"PATHHEAD_GOSSIP_EVERY"`
	PeerTimeout time.Duration    `help:"Silence after which a peer is lost (over gossip-every)." default:"2s" env:"PATHHEAD_PEER_TIMEOUT"`
}

func main() {
	var f flags
	cli.Parse(&f, "Reconciles the weights loaded on the engines of each pool with the configuration.")
	server, client, err := f.PeerTLS()
	if err != nil {
		cli.Exit(cli.ExitUsage, err)
	}
	if err := cli.CheckURLs(map[string]string{"table": f.Table, "vms": f.VMs}); err != nil {
		cli.Exit(cli.ExitUsage, err)
	}
	c, err := controller.New(controller.Settings{
		Name: f.Name, Operators: f.Operators, Peers: f.Peers, Seeds: f.Seeds,
		Lease: f.Lease, PlanEvery: f.Every, GossipEvery: f.GossipEvery, PeerTimeout: f.PeerTimeout,
		PeerServer: server, PeerClient: client,
	}, f.ports(), controller.WithLogger(f.Logger(f.Name)))
	if err != nil {
		cli.Exit(cli.ExitUsage, err)
	}
	if err := f.Run(c.Run); err != nil {
		cli.Exit(cli.ExitFailed, err)
	}
}

func (f flags) ports() controller.Ports {
	cred := wire.Credentials{AccessKey: f.AccessKey, SecretKey: f.SecretKey, Region: f.Region}
	return controller.Ports{
		Table:   wire.NewDynamoTable(f.Table, f.TableName, cred),
		List:    wire.NewVMList(f.VMs),
		Engines: wire.NewEngines(),
	}
}
