package cli

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net/netip"
	"net/url"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/zeebo/errs/v2"

	"github.com/pathhead/pathhead/route"
)

// The exit codes of every program.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitUsage    = 2
	ExitConflict = 3
	ExitUnknown  = 4
)

// Version returns the module version recorded in the build information.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "unknown"
	}
	return info.Main.Version
}

// CommonFlags holds the flags of every long-running program.
type CommonFlags struct {
	LogLevel  slog.Level       `help:"Least level that is logged: debug, info, warn or error." default:"info" env:"PATHHEAD_LOG_LEVEL"`
	LogFormat string           `help:"Form of the log: text or json." enum:"text,json" default:"text" env:"PATHHEAD_LOG_FORMAT"`
	Check     bool             `help:"Check the settings, print their faults and end."`
	Version   kong.VersionFlag `help:"Print the version and end."`
}

// Logger returns a logger with the level and format of the flags, which writes to
// standard error.
func (c CommonFlags) Logger(process string) *slog.Logger {
	opts := &slog.HandlerOptions{Level: c.LogLevel}
	var h slog.Handler = slog.NewTextHandler(os.Stderr, opts)
	if c.LogFormat == "json" {
		h = slog.NewJSONHandler(os.Stderr, opts)
	}
	return slog.New(h).With("process", process)
}

// CrashFlags holds the flags that limit how many targets one request, or a part of prompts, may crash.
type CrashFlags struct {
	CrashTargets int           `help:"Targets that may end under copies of one request before it is held back (2 to 8)." default:"3" env:"PATHHEAD_CRASH_TARGETS"`
	CrashHold    time.Duration `help:"How long such a request is held back, for each further target twice as long, at most four times (1s to 1h)." default:"2m" env:"PATHHEAD_CRASH_HOLD"`
	CrashParts   int           `help:"Targets that may end under requests with one part of a prompt before requests with it are held back (2 to 8)." default:"5" env:"PATHHEAD_CRASH_PARTS"`
}

// CrashSettings returns the default settings with the values of the flags.
func (c CrashFlags) CrashSettings() route.CrashSettings {
	s := route.DefaultCrashSettings()
	s.Targets, s.Hold, s.PartTargets = c.CrashTargets, c.CrashHold, c.CrashParts
	return s
}

// CredentialFlags holds the flags for the peer certificate and for access to the platform.
type CredentialFlags struct {
	PeerCert  string `help:"Certificate file (PEM) for mutual TLS with peers and operators; read again when it changes." env:"PATHHEAD_PEER_CERT" placeholder:"FILE"`
	PeerKey   string `help:"Key file of the peers' certificate." env:"PATHHEAD_PEER_KEY" placeholder:"FILE"`
	PeerCA    string `help:"Authority file that peers' and operators' certificates must be signed by." env:"PATHHEAD_PEER_CA" placeholder:"FILE"`
	AccessKey string `help:"Access key id at the platform." env:"AWS_ACCESS_KEY_ID" placeholder:"ID"`
	SecretKey string `help:"Secret access key at the platform; give it by the environment." env:"AWS_SECRET_ACCESS_KEY" placeholder:"SECRET"`
	Region    string `help:"Region of the platform's services." env:"AWS_REGION" default:"local"`
}

// PeerTLS returns the TLS configurations for serving and calling peers. Both are nil if
// no certificate is configured.
func (k CredentialFlags) PeerTLS() (server, client *tls.Config, err error) {
	if k.PeerCert == "" && k.PeerKey == "" && k.PeerCA == "" {
		return nil, nil, nil
	}
	if k.PeerCert == "" || k.PeerKey == "" || k.PeerCA == "" {
		return nil, nil, errs.Errorf("peer-cert, peer-key and peer-ca must be set together")
	}
	pool, err := loadCAPool(k.PeerCA)
	if err != nil {
		return nil, nil, err
	}
	pair := &ReloadingCertificate{cert: k.PeerCert, key: k.PeerKey}
	if _, err := pair.load(); err != nil {
		return nil, nil, err
	}
	server = &tls.Config{
		MinVersion:     tls.VersionTLS13,
		ClientAuth:     tls.RequireAndVerifyClientCert,
		ClientCAs:      pool,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return pair.load() },
	}
	client = &tls.Config{
		MinVersion:           tls.VersionTLS13,
		RootCAs:              pool,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return pair.load() },
	}
	return server, client, nil
}

// loadCAPool reads the certificates of an authority file.
func loadCAPool(file string) (*x509.CertPool, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errs.Errorf("peer authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, errs.Errorf("peer authority: %s contains no PEM certificate", file)
	}
	return pool, nil
}

// ServerTLS returns a configuration with one certificate that is reloaded when its file
// changes. It is nil if no file is named.
func ServerTLS(cert, key string) (*tls.Config, error) {
	if cert == "" && key == "" {
		return nil, nil
	}
	pair := &ReloadingCertificate{cert: cert, key: key}
	if _, err := pair.load(); err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return pair.load() },
	}, nil
}

// ReloadingCertificate is a certificate that is reloaded when its file changes.
type ReloadingCertificate struct {
	cert, key string

	mu     sync.Mutex
	loaded *tls.Certificate
	// modTime is the modification time of the loaded file.
	modTime time.Time
}

// load returns the current certificate and reloads it if the file has changed.
func (p *ReloadingCertificate) load() (*tls.Certificate, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	info, err := os.Stat(p.cert)
	if err != nil {
		return p.currentOr(errs.Errorf("certificate: %w", err))
	}
	if p.loaded != nil && info.ModTime().Equal(p.modTime) {
		return p.loaded, nil
	}
	pair, err := tls.LoadX509KeyPair(p.cert, p.key)
	if err != nil {
		return p.currentOr(errs.Errorf("certificate: %w", err))
	}
	p.loaded = &pair
	p.modTime = info.ModTime()
	return p.loaded, nil
}

// currentOr returns the loaded certificate if there is one, otherwise err. A certificate
// thus stays in use while a new one can't be read.
func (p *ReloadingCertificate) currentOr(err error) (*tls.Certificate, error) {
	if p.loaded != nil {
		return p.loaded, nil
	}
	return nil, err
}

// Parse reads flags and environment variables into settings. If they are invalid, it
// prints the error and exits with [ExitUsage].
func Parse(settings any, description string) *kong.Context {
	return kong.Parse(settings, append(Mappers(),
		kong.Description(description),
		kong.ShortUsageOnError(),
		kong.Vars{"version": Version()},
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
		kong.Exit(func(code int) {
			if code != ExitOK {
				code = ExitUsage
			}
			os.Exit(code)
		}),
	)...)
}

// Mappers returns the kong options for decoding [netip.AddrPort] values.
func Mappers() []kong.Option {
	return []kong.Option{
		kong.TypeMapper(reflect.TypeFor[netip.AddrPort](), kong.MapperFunc(decodeAddr)),
	}
}

func decodeAddr(ctx *kong.DecodeContext, target reflect.Value) error {
	var text string
	if err := ctx.Scan.PopValueInto("address", &text); err != nil {
		return err
	}
	if text == "" {
		return nil
	}
	addr, err := netip.ParseAddrPort(text)
	if err != nil {
		return fmt.Errorf("%q is not an IP address and port such as 10.0.0.5:8080", text)
	}
	target.Set(reflect.ValueOf(addr))
	return nil
}

// CheckURLs takes URLs by their flags and returns one error that lists all that are not
// absolute HTTP or HTTPS URLs.
func CheckURLs(urls map[string]string) error {
	var invalid []error
	for _, name := range slices.Sorted(maps.Keys(urls)) {
		u, err := url.Parse(urls[name])
		if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
			invalid = append(invalid, errs.Errorf("%s is %q, must be an absolute URL such as http://10.0.0.9:8000", name, urls[name]))
		}
	}
	return errors.Join(invalid...)
}

// SignalContext returns a context that is cancelled by SIGTERM or SIGINT, the signals for
// a planned stop.
func SignalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
}

// Run calls run with a context that SIGTERM and SIGINT cancel. With the check flag it
// only prints that the settings are valid; callers validate them before.
func (c CommonFlags) Run(run func(context.Context) error) error {
	if c.Check {
		fmt.Println("the settings are valid")
		return nil
	}
	ctx, stop := SignalContext()
	defer stop()
	return run(ctx)
}

// Exit prints an error to standard error and exits with a code.
func Exit(code int, err error) {
	fmt.Fprintln(os.Stderr, err)
	os.Exit(code)
}
