// Command harness plays the cases of the review: it starts gateways as processes, with stand-ins for the
// platform's store, the endpoints and the clients, and checks one rule.
package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	held    = 0
	broken  = 1
	notRun  = 2
	longest = 110 * time.Second
)

func main() {
	cases := map[string]func(*world) int{"owner": ownerCase, "twice": twiceCase, "memory": memoryCase, "handed": handedCase, "lost": lostCase}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER")
		os.Exit(notRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(run func(*world) int, folder string) (code int) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	temporary, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	w := &world{
		record: &record{file: file, began: time.Now(), runs: map[string][]string{}}, folder: temporary,
		trouble:   os.Getenv("TROUBLE") != "0",
		contracts: "base,drain,config,cost,retry,recover,own,platform",
	}
	guard := w.takeNet()
	defer guard.Close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	done := make(chan int, 1)
	go func() {
		defer func() {
			if r := recover(); r != nil {
				w.record.add("the case could not run: %v", r)
				done <- notRun
			}
		}()
		done <- run(w)
	}()
	select {
	case code = <-done:
	case <-stop:
		w.record.add("the case was stopped")
		code = notRun
	case <-time.After(longest):
		w.record.add("the case took too long")
		code = notRun
	}
	w.ending.Store(true)
	w.kill()
	w.record.add("exit %d", code)
	w.record.close()
	_ = os.RemoveAll(temporary)
	return code
}

// record is the file that tells what was sent, answered and run.
type record struct {
	mu     sync.Mutex
	file   *os.File
	closed bool
	began  time.Time
	// runs are the endpoints that ran each request, by its id.
	runs map[string][]string
}

func (r *record) add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		fmt.Fprintf(r.file, "%8.3f ", time.Since(r.began).Seconds())
		fmt.Fprintf(r.file, format+"\n", values...)
	}
}

// say adds a line and prints it.
func (r *record) say(format string, values ...any) {
	r.add(format, values...)
	fmt.Printf(format+"\n", values...)
}

func (r *record) ran(id string, e *endpoint, method, uri string, size int64) {
	r.add("request %s runs at %s of %s: %s %s, body of %d bytes", id, e.id, e.service, method, uri, size)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id] = append(r.runs[id], e.id+"/"+e.service)
}

// runsOf returns where a request ran.
func (r *record) runsOf(id string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.runs[id]...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	_ = r.file.Close()
}

// world is what a case consists of.
type world struct {
	record  *record
	folder  string
	trouble bool
	// contracts are those in force, as on a small site.
	contracts string
	// net is a part of the loopback addresses.
	net       int
	store     *store
	gateways  []*gateway
	endpoints []*endpoint
	outcomes  sync.Map
	// ending is set once the case has ended, so that no process is started again.
	ending atomic.Bool
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// takeNet selects a part of the loopback addresses that no other play uses, as long as the listener is open.
func (w *world) takeNet() net.Listener {
	for {
		w.net = 16 + rand.IntN(200)
		if guard, err := net.Listen("tcp", fmt.Sprintf("127.%d.250.1:9463", w.net)); err == nil {
			return guard
		}
	}
}

// freeAddress returns a loopback address with a free port.
func (w *world) freeAddress(group, number int) string {
	ip := fmt.Sprintf("127.%d.%d.%d", w.net, group, number)
	l, err := net.Listen("tcp", ip+":0")
	must(err)
	defer l.Close()
	return l.Addr().String()
}

func (w *world) startStore() {
	s, err := startStore(w.freeAddress(1, 1))
	must(err)
	w.store = s
}

// gateway is a process of the system.
type gateway struct {
	name, zone, callers, ready, control, settings, log string

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	// terminated are the times at which it got SIGTERM.
	terminated []time.Time
}

// startGateways starts gateways with the command of the deploy file and its template of the settings, as on
// a small deployment. zones has the zone of each.
func (w *world) startGateways(zones []string) {
	template, err := os.ReadFile("deploy/settings.conf")
	must(err)
	var seeds []string
	for i, zone := range zones {
		g := &gateway{name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone}
		g.callers, g.ready, g.control = w.freeAddress(2, i+1), w.freeAddress(2, i+1), w.freeAddress(2, i+1)
		w.gateways = append(w.gateways, g)
		seeds = append(seeds, g.control)
	}
	for _, g := range w.gateways {
		ip, _, _ := net.SplitHostPort(g.callers)
		udp, err := net.ListenPacket("udp", ip+":0")
		must(err)
		_, datagram, _ := net.SplitHostPort(udp.LocalAddr().String())
		_ = udp.Close()
		values := map[string]string{
			"node": g.name, "zone": g.zone, "region": "r1", "listen.front": g.callers, "listen.ready": g.ready,
			"listen.control": g.control, "ip": ip, "internal_ports.0": datagram, "platform.address": w.store.address,
			"seeds": strings.Join(seeds[:min(3, len(seeds))], ","), "bounds.hold_max": "10000ms", "bounds.addr_reuse": "2s",
			"bounds.grace": "6s", "bounds.retry_budget_ratio": "0.2", "bounds.retry_slack": "64",
			"bounds.retry_window": "10s", "limits.cpu_share": "0.32", "limits.memory_mb": "284",
			"contracts": w.contracts, "bootstrap": "true",
		}
		text := string(template)
		text = strings.ReplaceAll(text, "{{#zones}}{{@}}={{.}}{{,}}{{/zones}}", "z1=r1,z2=r1")
		for name, value := range values {
			text = strings.ReplaceAll(text, "{{"+name+"}}", value)
		}
		if strings.Contains(text, "{{") {
			panic("the template of the settings has an unknown field")
		}
		path := filepath.Join(w.folder, g.name+".conf")
		must(os.WriteFile(path, []byte(text), 0o600))
		g.settings, g.log = path, filepath.Join(w.folder, g.name+".log")
		w.start(g)
	}
}

// start starts a gateway's process.
func (w *world) start(g *gateway) {
	logs, err := os.OpenFile(g.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	defer logs.Close()
	process, ended := exec.Command("target/basilcross-gateway", "serve"), make(chan struct{})
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BASILCROSS_SETTINGS=" + g.settings}
	process.Stdout, process.Stderr = logs, logs
	must(process.Start())
	g.mu.Lock()
	g.process, g.ended = process, ended
	g.mu.Unlock()
	w.record.add("gateway %s started, callers at %s", g.name, g.callers)
	go func() {
		err := process.Wait()
		w.record.add("gateway %s ended: %v", g.name, err)
		close(ended)
	}()
}

// end kills a gateway's process and waits for its end.
func (g *gateway) end() {
	g.mu.Lock()
	process, ended := g.process, g.ended
	g.mu.Unlock()
	if process != nil {
		_ = process.Process.Signal(syscall.SIGKILL)
		<-ended
	}
}

// awaitReady waits until all gateways say that they are ready.
func (w *world) awaitReady() {
	end := time.Now().Add(15 * time.Second)
	for _, g := range w.gateways {
		for {
			res, err := http.Get("http://" + g.ready + "/v1/readiness")
			if err == nil {
				_ = res.Body.Close()
				if res.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				panic("gateway " + g.name + " is not ready")
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	w.record.add("all gateways are ready")
}

// kill ends all processes that the case started.
func (w *world) kill() {
	for _, g := range w.gateways {
		g.end()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, g := range w.gateways {
			text, _ := os.ReadFile(filepath.Join(w.folder, g.name+".log"))
			_ = os.WriteFile(filepath.Join(keep, g.name+".log"), text, 0o600)
		}
	}
}

// request is what a client sends.
type request struct {
	id, host, path, method, body string
	key                          int
	limit                        time.Duration
	idempotent                   bool
	service                      string
}

// result is how a request ended for the client. Status 0 is a connection without a complete answer.
type result struct {
	request *request
	status  int
	body    string
	header  http.Header
	err     error
	at      time.Time
	// first is set if the request was not sent behind another one, to gateway.
	first   bool
	gateway *gateway
}

func (w *world) newID() string { return strconv.FormatUint(rand.Uint64(), 16) }

// send sends one attempt of a request on a new connection.
func (w *world) send(g *gateway, q *request) *result {
	res := &result{request: q}
	defer func() {
		res.at = time.Now()
		w.record.add("request %s answered %d %q error %v", q.id, res.status, firstWords(res.body), res.err)
		w.outcomes.Store(q.id, res)
	}()
	w.record.add("request %s sent to %s: %s %s key %d", q.id, g.name, q.method, q.path, q.key)
	client := &http.Client{
		Timeout:   q.limit + time.Second,
		Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true},
	}
	r, err := http.NewRequest(q.method, "http://"+g.callers+q.path, strings.NewReader(q.body))
	if err != nil {
		res.err = err
		return res
	}
	r.Host = q.host
	r.Header.Set("Basilcross-Request-Id", q.id)
	r.Header.Set("Basilcross-Deadline-Ms", strconv.FormatInt(q.limit.Milliseconds(), 10))
	if q.key >= 0 {
		r.Header.Set("Basilcross-Shard-Key", strconv.Itoa(q.key))
	}
	answer, err := client.Do(r)
	if err != nil {
		res.err = err
		return res
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		res.err = err
		return res
	}
	res.status, res.body, res.header = answer.StatusCode, string(text), answer.Header
	return res
}

func firstWords(s string) string {
	if len(s) > 90 {
		return s[:90]
	}
	return s
}

// load sends requests at a rate until stop is closed, and waits for their ends.
func (w *world) load(perSecond int, stop <-chan struct{}, next func() *request) *sync.WaitGroup {
	group := &sync.WaitGroup{}
	group.Add(1)
	go func() {
		defer group.Done()
		tick := time.NewTicker(time.Second / time.Duration(perSecond))
		defer tick.Stop()
		for {
			select {
			case <-stop:
				return
			case <-tick.C:
				q := next()
				g := w.gateways[rand.IntN(len(w.gateways))]
				group.Add(1)
				go func() {
					defer group.Done()
					w.send(g, q)
				}()
			}
		}
	}()
	return group
}

// summary counts the outcomes by status.
func (w *world) summary() map[int]int {
	counts := map[int]int{}
	w.outcomes.Range(func(_, value any) bool {
		counts[value.(*result).status]++
		return true
	})
	return counts
}
