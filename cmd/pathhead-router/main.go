// Command pathhead-router accepts callers' requests and forwards them to targets.
package main

import (
	"net/netip"
	"time"

	"github.com/pathhead/pathhead/internal/cli"
	"github.com/pathhead/pathhead/router"
	"github.com/pathhead/pathhead/wire"
)

type flags struct {
	cli.CommonFlags
	cli.CredentialFlags
	Name        string           `help:"Name of this process, unique among routers." required:"" env:"PATHHEAD_NAME"`
	Hall        string           `help:"Hall (failure domain) this VM stands in." env:"PATHHEAD_HALL"`
	Callers     netip.AddrPort   `help:"Address of the callers' door." default:"127.0.0.1:8080" env:"PATHHEAD_CALLERS"`
	Operators   netip.AddrPort   `help:"Address of the operators' door." default:"127.0.0.1:8081" env:"PATHHEAD_OPERATORS"`
	Peers       netip.AddrPort   `help:"Address of the peers' door." default:"127.0.0.1:8082" env:"PATHHEAD_PEERS"`
	Seeds       []netip.AddrPort `help:"Peers' doors of other processes." env:"PATHHEAD_SEEDS" sep:","`
	Table       string           `help:"URL of the table service." required:"" env:"PATHHEAD_TABLE"`
	TableName   string           `help:"Name of the table." default:"pathhead" env:"PATHHEAD_TABLE_NAME"`
	Objects     string           `help:"URL of the object store." required:"" env:"PATHHEAD_OBJECTS"`
	Bucket      string           `help:"Bucket of the object store." default:"pathhead" env:"PATHHEAD_BUCKET"`
	VMs         string           `name:"vms" help:"URL of the VM list." required:"" env:"PATHHEAD_VMS"`
	PollEvery   time.Duration    `help:"Time between polls of each target (50ms to 10s)." default:"500ms" env:"PATHHEAD_POLL_EVERY"`
	ConfigEvery time.Duration    `help:"Time between reads of the configuration's head (100ms to 10s)." default:"1s" env:"PATHHEAD_CONFIG_EVERY"`
	GossipEvery time.Duration    `help:"Time between rounds of gossip (50ms to 10s)." default:"200ms" env:"PATHHEAD_GOSSIP_EVERY"`
	PeerTimeout time.Duration    `help:"Silence after which a peer is lost (over gossip-every)." default:"2s" env:"PATHHEAD_PEER_TIMEOUT"`
	Validity    time.Duration    `help:"How long a confirmation of the configuration is good (over config-every)." default:"3s" env:"PATHHEAD_VALIDITY"`
	BalancerLag time.Duration    `help:"How long the balancer goes on sending once readiness is off." default:"3s" env:"PATHHEAD_BALANCER_LAG"`
	DrainTime   time.Duration    `help:"Longest time of a planned stop." default:"2m" env:"PATHHEAD_DRAIN_TIME"`
	Placement   string           `help:"Placement policy: predict, or a baseline for measurements: random, round-robin, least-load, prefix-hash." default:"predict" env:"PATHHEAD_PLACEMENT"`
	CacheEvents bool             `help:"Read the engines' cache events besides learning from answers." env:"PATHHEAD_CACHE_EVENTS"`
	CallerCert  string           `help:"Certificate file (PEM) of the callers' door; without it the door is plain HTTP." env:"PATHHEAD_CALLER_CERT" placeholder:"FILE"`
	CallerKey   string           `help:"Key file of the callers' certificate." env:"PATHHEAD_CALLER_KEY" placeholder:"FILE"`
	cli.CrashFlags
	Seed uint64 `help:"Seed of random choices; 0 takes one from the clock." env:"PATHHEAD_SEED"`
}

func main() {
	var f flags
	cli.Parse(&f, "Accepts callers' requests and forwards them to targets.")
	set, err := f.settings()
	if err != nil {
		cli.Exit(cli.ExitUsage, err)
	}
	r, err := router.New(set, f.ports(), router.WithLogger(f.Logger(f.Name)))
	if err != nil {
		cli.Exit(cli.ExitUsage, err)
	}
	if err := f.Run(r.Run); err != nil {
		cli.Exit(cli.ExitFailed, err)
	}
}

func (f flags) ports() router.Ports {
	cred := wire.Credentials{AccessKey: f.AccessKey, SecretKey: f.SecretKey, Region: f.Region}
	return router.Ports{
		Table:    wire.NewDynamoTable(f.Table, f.TableName, cred),
		Objects:  wire.NewS3Objects(f.Objects, f.Bucket, cred),
		List:     wire.NewVMList(f.VMs),
		Engines:  wire.NewEngines(),
		Protocol: wire.NewOpenAI(),
	}
}

func (f flags) settings() (router.Settings, error) {
	set := router.Settings{
		Name: f.Name, Hall: f.Hall, Callers: f.Callers, Operators: f.Operators, Peers: f.Peers, Seeds: f.Seeds,
		PollEvery: f.PollEvery, ConfigEvery: f.ConfigEvery, GossipEvery: f.GossipEvery, PeerTimeout: f.PeerTimeout,
		Validity: f.Validity, BalancerLag: f.BalancerLag, DrainTime: f.DrainTime,
		Placement: f.Placement, CacheEvents: f.CacheEvents, Seed: f.Seed, Crashes: f.CrashSettings(),
	}
	err := cli.CheckURLs(map[string]string{"table": f.Table, "objects": f.Objects, "vms": f.VMs})
	if err != nil {
		return set, err
	}
	if set.CallerTLS, err = cli.ServerTLS(f.CallerCert, f.CallerKey); err != nil {
		return set, err
	}
	set.PeerServer, set.PeerClient, err = f.PeerTLS()
	return set, err
}
