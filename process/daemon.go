// SPDX-License-Identifier: MIT

package process

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/net/netutil"

	"streambend.example/cloud"
	"streambend.example/conn"
	"streambend.example/request"
	"streambend.example/seam"
	"streambend.example/version"
)

// Platform holds the platform services that a daemon depends on.
type Platform struct {
	Table   seam.Table
	Objects seam.Objects
	Cloud   seam.Cloud
	Boxes   seam.BoxList
	Network seam.Network
	Close   func() // closes idle connections

	// AdjustOptions modifies the request options, for trials that disable one
	// mechanism; may be nil.
	AdjustOptions func(*request.Options)
}

// NewPlatform returns the platform adapters configured in the settings.
func NewPlatform(s Settings, n seam.Network) Platform {
	client := seam.HTTPClient(n, cloudTimeout)
	api := cloud.HTTP{Base: s.Platform.Cloud, Client: client}
	access := s.Platform.access()
	access.HTTP = client
	return Platform{
		Table:   cloud.NewDynamo(access, s.Platform.Table),
		Objects: cloud.NewS3(access, s.Platform.Bucket),
		Cloud:   api, Boxes: api, Network: n, Close: client.CloseIdleConnections,
	}
}

const (
	tableTimeout = 2 * time.Second // per call to the table
	cloudTimeout = 5 * time.Second // per call to any platform service
)

// Daemon is a running daemon.
type Daemon struct {
	Settings Settings
	Self     conn.Member
	Server   *request.Server
	Hub      *conn.Hub

	log       *logrus.Logger
	platform  Platform
	tables    tables
	config    *configStore
	fleet     *fleet
	placer    *placer
	handovers *handoverStore
	registry  metrics.Registry

	callers   *http.Server
	operators *http.Server
	peers     *http.Server
	addrs     Addresses

	ready    atomic.Bool
	draining atomic.Bool
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
}

// Addresses holds the addresses that a daemon listens on.
type Addresses struct {
	Callers   string
	Operators string
	Peers     string
}

// tables holds one view of the table per priority; all share one token bucket.
type tables struct {
	claim, lease, config, report seam.Table
}

func newTables(t seam.Table, rate float64) tables {
	b := seam.NewBucket(rate, max(int(rate), 10))
	at := func(p seam.Priority) seam.Table {
		return seam.Limited{Table: t, Bucket: b, Priority: p, Timeout: tableTimeout}
	}
	return tables{
		claim: at(seam.PriorityClaim), lease: at(seam.PriorityLease),
		config: at(seam.PriorityConfig), report: at(seam.PriorityReport),
	}
}

// New starts a daemon, which becomes ready once it has loaded a configuration.
func New(s Settings, p Platform, log *logrus.Logger) (*Daemon, error) {
	ls, err := listen(s.Listen, p.Network)
	if err != nil {
		return nil, err
	}
	d := &Daemon{Settings: s, platform: p, log: log, registry: metrics.NewRegistry()}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.addrs = Addresses{ls.callers.Addr().String(), ls.operators.Addr().String(), ls.peers.Addr().String()}
	d.Self = conn.Member{Name: s.Name, Start: time.Now().UnixMilli(), Address: d.addrs.Peers, Zone: s.Zone}
	d.tables = newTables(p.Table, s.Platform.TableRate)
	d.handovers = newHandoverStore()
	client := conn.NewClient(p.Network, s.Limits.BodyBytes)
	claims := request.NewClaims(d.instance(), d.tables.claim)
	opts := s.options()
	opts.Holds = d.holdShare()
	if p.AdjustOptions != nil {
		p.AdjustOptions(&opts)
	}
	d.Server = request.NewServer(opts, client, claims, peerAsker{d}, log)
	d.config = newConfigStore(version.Log{Table: d.tables.config, Objects: p.Objects})
	mesh := conn.NewMesh(d.Self, conn.DefaultTiming())
	d.Hub = conn.NewHub(mesh, d.Self, p.Network, s.Peers.Secret, log, d.handleDelivery, d.handlePeerRequest)
	d.fleet = newFleet(d)
	d.placer = newPlacer(d)
	d.registerMetrics()
	d.serve(ls)
	d.startPeriodicTasks()
	return d, nil
}

// instance identifies this run of the daemon; it changes on restart.
func (d *Daemon) instance() string { return instanceOf(d.Self) }

func instanceOf(m conn.Member) string { return fmt.Sprintf("%s#%d", m.Name, m.Start) }

// Addresses returns the addresses that the daemon listens on.
func (d *Daemon) Addresses() Addresses { return d.addrs }

// Config returns the configuration active in this daemon.
func (d *Daemon) Config() *version.Config { return d.config.get() }

type listeners struct {
	callers, operators, peers net.Listener
}

func listen(l Listen, n seam.Network) (ls listeners, err error) {
	for _, x := range []struct {
		to   *net.Listener
		addr string
	}{{&ls.callers, l.Callers}, {&ls.operators, l.Operators}, {&ls.peers, l.Peers}} {
		if *x.to, err = n.Listen(x.addr); err != nil {
			return ls, errors.Wrap(err, "process: listen")
		}
	}
	return ls, nil
}

const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
)

func (d *Daemon) newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: d.Settings.Limits.HeaderBytes,
	}
}

// serve starts the HTTP servers.
func (d *Daemon) serve(ls listeners) {
	d.callers = d.newServer(newCallers(d))
	d.operators = d.newServer(newOperators(d))
	mux := http.NewServeMux()
	mux.Handle(conn.PeerPath, d.Hub)
	d.peers = d.newServer(mux)
	limited := netutil.LimitListener(ls.callers, d.Settings.Limits.Connections)
	tls := d.Settings.TLS
	d.run(func() { d.serveListener(d.callers, limited, tls) })
	d.run(func() { d.serveListener(d.operators, ls.operators, tls) })
	d.run(func() { d.serveListener(d.peers, ls.peers, TLSSettings{}) })
}

func (d *Daemon) serveListener(s *http.Server, l net.Listener, t TLSSettings) {
	var err error
	if t.Certificate != "" {
		err = s.ServeTLS(l, t.Certificate, t.Key)
	} else {
		err = s.Serve(l)
	}
	if !errors.Is(err, http.ErrServerClosed) {
		d.log.WithField("part", "process").Errorf("serve: %v", err)
	}
}

// run starts a goroutine that Stop waits for.
func (d *Daemon) run(f func()) {
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		f()
	}()
}

// runPeriodically runs f immediately and again after each delay that f returns, until the
// daemon stops.
func (d *Daemon) runPeriodically(f func(now time.Time) time.Duration) {
	d.run(func() {
		for {
			wait := f(time.Now())
			select {
			case <-d.ctx.Done():
				return
			case <-time.After(wait):
			}
		}
	})
}

// Stop shuts the daemon down gracefully: it reports unready, stops accepting
// requests, drains them or hands the rest over to peers, and leaves the mesh.
func (d *Daemon) Stop(ctx context.Context) {
	log := d.log.WithField("part", "process")
	log.Infof("stop: %s reports unready", d.Self.Name)
	d.draining.Store(true)
	d.ready.Store(false)
	d.callers.SetKeepAlivesEnabled(false)
	sleep(ctx, d.Settings.Timing.Unready.Duration)
	d.placer.release()
	drain, cancel := context.WithTimeout(ctx, d.Settings.Timing.Drain.Duration)
	defer cancel()
	err := d.callers.Shutdown(drain)
	if err == nil {
		err = d.Server.Wait(drain)
	}
	if err != nil {
		n := d.handOver()
		log.Infof("stop: drain incomplete, %d requests handed over: %v", n, err)
	}
	d.Hub.Leave(time.Now())
	sleep(ctx, leavePause)
	d.Kill()
}

// leavePause lets the last frames and answers be sent before connections close.
const leavePause = 200 * time.Millisecond

func sleep(ctx context.Context, t time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(t):
	}
}

// Kill stops the daemon at once, without draining or notifying peers.
func (d *Daemon) Kill() {
	d.draining.Store(true)
	d.cancel()
	// Close the callers' connections first, so that no caller takes a
	// truncated answer for a complete one.
	d.callers.Close()
	d.Server.Kill()
	d.operators.Close()
	d.peers.Close()
	d.Hub.Close()
	d.wg.Wait()
	d.Server.Client.Close()
	d.platform.Close()
}

// startPeriodicTasks starts the periodic tasks.
func (d *Daemon) startPeriodicTasks() {
	d.runPeriodically(func(now time.Time) time.Duration {
		d.Server.Works.Tick(now, len(d.Hub.Mesh.Members()))
		return 100 * time.Millisecond
	})
	d.runPeriodically(d.syncConfig)
	d.runPeriodically(d.syncMembers)
	d.runPeriodically(d.fleet.pollBoxes)
	d.runPeriodically(d.fleet.pollNotices)
	d.runPeriodically(d.fleet.probeEndpoints)
	d.runPeriodically(d.fleet.broadcastDemand)
	d.runPeriodically(d.placer.step)
	d.runPeriodically(d.placer.placeAll)
	d.run(func() { d.loadHolds(d.ctx) })
	d.runPeriodically(func(now time.Time) time.Duration {
		d.Server.Holds.ResendVerdicts(now)
		return holdsResendPeriod
	})
}
