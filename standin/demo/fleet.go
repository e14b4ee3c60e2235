// Package demo runs a whole deployment on one machine, with load and faults, and checks the
// recorded history. Gateways are processes; all else runs in this process.
package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"basilcross.example/basilcross/config"
	"basilcross.example/basilcross/platform"
	"basilcross.example/standin/caller"
	"basilcross.example/standin/deployment"
	"basilcross.example/standin/judge"
	"basilcross.example/standin/link"
	"basilcross.example/standin/store"
	"basilcross.example/standin/target"
)

// gateway is a gateway process with its egress proxy, its flags and its addresses.
type gateway struct {
	deployment.Instance
	endpoint       *caller.Gateway
	egress         *link.Egress
	flags          []string
	adminAddress   string
	controlAddress string

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	killed  bool
	version uint64
}

// fleet is a running deployment: platform, network, targets and gateways.
type fleet struct {
	deployment deployment.Deployment
	binary     string
	logDir     string
	unfenced   []string
	history    *judge.History
	store      *store.Store
	network    *link.Network
	targets    map[string]*target.Target
	gateways   []*gateway
	generator  *caller.Generator
	configMu   sync.Mutex
	closers    []func()
	group      sync.WaitGroup
}

func buildGateway(folder string) (string, error) {
	binary := filepath.Join(folder, "basilcross-gateway")
	out, err := exec.Command("go", "build", "-o", binary, "basilcross.example/gateway").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build gateway: %w: %s", err, out)
	}
	return binary, nil
}

func newFleet(d deployment.Deployment, binary, logs string) *fleet {
	return &fleet{
		deployment: d,
		binary:     binary,
		logDir:     logs,
		history:    &judge.History{},
		store:      &store.Store{},
		network:    link.New(d),
		targets:    map[string]*target.Target{},
	}
}

func (f *fleet) zoneByName(name string) deployment.Zone {
	for _, z := range f.deployment.Zones {
		if z.Name == name {
			return z
		}
	}
	return deployment.Zone{}
}

// start starts the platform, the targets and the gateways, and submits the first configuration.
func (f *fleet) start(ctx context.Context) error {
	platformAddress, err := f.startPlatform()
	if err != nil {
		return err
	}
	if err := f.startTargets(); err != nil {
		return err
	}
	for _, i := range f.deployment.GatewayInstances() {
		if err := f.addGateway(i, platformAddress); err != nil {
			return err
		}
	}
	for _, g := range f.gateways {
		if err := f.startGateway(g); err != nil {
			return err
		}
	}
	return f.configure(ctx)
}

func (f *fleet) startPlatform() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: f.store, ReadHeaderTimeout: time.Minute}
	f.group.Go(func() { _ = server.Serve(l) })
	f.closers = append(f.closers, func() { _ = server.Close() })
	zone := f.zoneByName(f.deployment.StoreZone)
	zone.Name = link.PlatformZone
	f.network.AddAddress(l.Addr().String(), zone, true)
	return l.Addr().String(), nil
}

func (f *fleet) startTargets() error {
	work, write := map[string]time.Duration{}, map[string]bool{}
	values := &target.Values{}
	for _, k := range f.deployment.Kinds {
		work[k.Name], write[k.Name] = k.MeanWork, !k.Idempotent
	}
	for _, i := range f.deployment.TargetInstances() {
		t := &target.Target{Name: i.Name, Service: i.Service, Fenced: !slices.Contains(f.unfenced, i.Name), MeanWork: work, IsWrite: write, History: f.history, Values: values}
		address, err := t.Listen()
		if err != nil {
			return err
		}
		f.targets[i.Name] = t
		f.closers = append(f.closers, t.Kill)
		f.network.AddAddress(address, i.Zone, false)
		f.store.AddInstance(platform.Instance{
			ID: i.Name, Zone: i.Zone.Name, Region: i.Zone.Region, Address: address, Role: platform.TargetRole,
			Service: i.Service.Name, Slots: i.Service.Slots, Fenced: t.Fenced,
		})
	}
	return nil
}

// Gateway ports lie below the ephemeral port range. From that range, an outgoing connection
// could take a port between its choice and the gateway's start, or during a restart.
const (
	firstPort = 20_000
	portCount = 10_000
)

// nextPort counts up from a random start. Ports that are each drawn at random would
// eventually collide within a fleet.
var nextPort = func() *atomic.Uint32 {
	var n atomic.Uint32
	n.Store(rand.Uint32N(portCount))
	return &n
}()

// freeAddress returns a loopback address that was free when it was tried.
func freeAddress() (string, error) {
	var last error
	for range portCount {
		port := firstPort + int(nextPort.Add(1)%portCount)
		l, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(port))
		if err != nil {
			last = err
			continue
		}
		return l.Addr().String(), l.Close()
	}
	return "", last
}

func (f *fleet) addGateway(i deployment.Instance, platformAddress string) error {
	var addresses [3]string
	for n := range addresses {
		a, err := freeAddress()
		if err != nil {
			return err
		}
		addresses[n] = a
	}
	proxy, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	g := &gateway{Instance: i, adminAddress: addresses[2], controlAddress: addresses[1]}
	g.endpoint = &caller.Gateway{Name: i.Name, Address: addresses[0]}
	g.egress = &link.Egress{Zone: i.Zone}
	f.group.Go(func() { f.network.Serve(proxy, g.egress) })
	f.closers = append(f.closers, func() { _ = proxy.Close() })
	f.network.AddAddress(g.controlAddress, i.Zone, true)
	f.store.AddInstance(platform.Instance{ID: i.Name, Zone: i.Zone.Name, Region: i.Zone.Region, Address: g.controlAddress, Role: platform.GatewayRole})
	g.flags = []string{
		"--instance", i.Name, "--zone", i.Zone.Name, "--region", i.Zone.Region,
		"--callers-listen", addresses[0], "--control-listen", g.controlAddress, "--admin-listen", g.adminAddress,
		"--platform", "http://" + platformAddress, "--egress-proxy", proxy.Addr().String(),
		"--drain-wait", "1s", "--pprof",
	}
	for _, other := range f.gateways {
		g.flags = append(g.flags, "--peers", other.controlAddress)
	}
	f.gateways = append(f.gateways, g)
	return nil
}

func (f *fleet) startGateway(g *gateway) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.process != nil {
		return nil
	}
	log, err := os.OpenFile(filepath.Join(f.logDir, g.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c := exec.Command(f.binary, g.flags...)
	c.Env = append(os.Environ(), "GOMAXPROCS=2")
	c.Stderr = log
	if err := c.Start(); err != nil {
		return fmt.Errorf("start gateway %s: %w", g.Name, err)
	}
	g.process, g.exited, g.version = c, make(chan struct{}), 0
	exited := g.exited
	f.group.Go(func() {
		_ = c.Wait()
		_ = log.Close()
		g.endpoint.Ready.Store(false)
		g.mu.Lock()
		g.process = nil
		g.killed = !c.ProcessState.Exited()
		g.mu.Unlock()
		close(exited)
	})
	return nil
}

func (g *gateway) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.process != nil {
		_ = g.process.Process.Signal(s)
	}
}

// stopGateway shuts a gateway down and records the period, unless the process was killed
// meanwhile, since then its open requests may be cut off.
func (f *fleet) stopGateway(g *gateway) {
	g.mu.Lock()
	exited := g.exited
	g.mu.Unlock()
	began := time.Now()
	g.signal(syscall.SIGTERM)
	<-exited
	g.mu.Lock()
	killed := g.killed
	g.mu.Unlock()
	if !killed {
		f.history.AddShutdown(judge.Shutdown{Gateway: g.Name, At: began, Ended: time.Now()})
	}
}

var adminClient = &http.Client{Timeout: 2 * time.Second}

func (g *gateway) get(path string, v any) error {
	res, err := adminClient.Get("http://" + g.adminAddress + path)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("GET %s of gateway %s: status %d", path, g.Name, res.StatusCode)
	}
	if v == nil {
		return nil
	}
	return json.NewDecoder(res.Body).Decode(v)
}

// status is the part of a gateway's status that the demo reads.
type status struct {
	Versions map[string]uint64 `json:"versions"`
	Planning bool              `json:"planning"`
	Leader   struct {
		Leading bool `json:"leading"`
	} `json:"leader"`
}

const configVersionKey = "$config"

// configure submits the first configuration and waits until every shard has an owner.
func (f *fleet) configure(ctx context.Context) error {
	if err := f.submit(ctx, 0, f.deployment.InitialConfig(), "first"); err != nil {
		return err
	}
	return f.await(ctx, "all assignments on every gateway and an owner for every shard", func() bool {
		for _, g := range f.gateways {
			var s status
			if g.get("/v1/status", &s) != nil || len(s.Versions) < len(f.deployment.Services)+1 {
				return false
			}
		}
		return f.allShardsOwned()
	})
}

func (f *fleet) allShardsOwned() bool {
	for _, s := range f.deployment.Services {
		var a struct {
			Shards []struct {
				Owner string `json:"owner"`
			} `json:"shards"`
		}
		if !s.Sharded {
			continue
		}
		if f.gateways[0].get("/v1/assignment?service="+s.Name, &a) != nil || len(a.Shards) == 0 {
			return false
		}
		for _, sh := range a.Shards {
			if sh.Owner == "" {
				return false
			}
		}
	}
	return true
}

// awaitTimeout bounds each call of await.
const awaitTimeout = 30 * time.Second

func (f *fleet) await(ctx context.Context, what string, done func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, awaitTimeout)
	defer cancel()
	for !done() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for %s: not reached; gateway logs are in %s", what, f.logDir)
		case <-time.After(100 * time.Millisecond):
		}
	}
	return nil
}

// submit submits a configuration to one gateway after another until one accepts it.
func (f *fleet) submit(ctx context.Context, basedOn uint64, doc *config.Document, id string) error {
	content, err := json.Marshal(doc)
	if err != nil {
		return err
	}
	var last error
	accepted := func() bool {
		for _, g := range f.gateways {
			if last = g.post("/v1/config?id="+id+"&basedOn="+strconv.FormatUint(basedOn, 10), content); last == nil {
				return true
			}
		}
		return false
	}
	if err := f.await(ctx, "a gateway that accepts the configuration", accepted); err != nil {
		return fmt.Errorf("submit configuration %q: %w: %w", id, err, last)
	}
	return nil
}

func (g *gateway) post(path string, content []byte) error {
	res, err := adminClient.Post("http://"+g.adminAddress+path, "application/json", bytes.NewReader(content))
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(res.Body)
		return fmt.Errorf("POST %s to gateway %s: status %d: %s", path, g.Name, res.StatusCode, strings.TrimSpace(string(text)))
	}
	return nil
}

// close kills the gateways and stops all servers and proxies.
func (f *fleet) close() {
	for _, g := range f.gateways {
		g.signal(syscall.SIGCONT)
		g.signal(syscall.SIGKILL)
	}
	for _, c := range f.closers {
		c()
	}
}
