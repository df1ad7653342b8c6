package main

import (
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/banyanrail/banyanrail/daemon"
	"github.com/banyanrail/banyanrail/reduce"
)

// settings are read from flags and the environment. All values are read as text,
// so that check can report all faults together.
type settings struct {
	ID         string `arg:"--id,env:BANYANRAIL_ID" help:"id of this entry instance"`
	DataCentre string `arg:"--data-centre,env:BANYANRAIL_DATA_CENTRE" help:"data centre of this entry instance"`

	Callers   string `arg:"--callers,env:BANYANRAIL_CALLERS" default:"127.0.0.1:8080" help:"IP address and port for callers"`
	Operators string `arg:"--operators,env:BANYANRAIL_OPERATORS" default:"127.0.0.1:8081" help:"IP address and port for operators"`
	Peers     string `arg:"--peers,env:BANYANRAIL_PEERS" default:"127.0.0.1:8082" help:"IP address and port for other entries"`
	Platform  string `arg:"--platform,env:BANYANRAIL_PLATFORM" help:"base URL of the platform's services"`

	CallersCert   string `arg:"--callers-cert,env:BANYANRAIL_CALLERS_CERT" help:"PEM certificate for callers"`
	CallersKey    string `arg:"--callers-key,env:BANYANRAIL_CALLERS_KEY" help:"PEM key for callers"`
	CallersCA     string `arg:"--callers-ca,env:BANYANRAIL_CALLERS_CA" help:"PEM file of the CA that signs callers' certificates"`
	OperatorsCert string `arg:"--operators-cert,env:BANYANRAIL_OPERATORS_CERT" help:"PEM certificate for operators"`
	OperatorsKey  string `arg:"--operators-key,env:BANYANRAIL_OPERATORS_KEY" help:"PEM key for operators"`
	OperatorsCA   string `arg:"--operators-ca,env:BANYANRAIL_OPERATORS_CA" help:"PEM file of the CA that signs operators' certificates"`
	PeersCert     string `arg:"--peers-cert,env:BANYANRAIL_PEERS_CERT" help:"PEM certificate shown to other entries"`
	PeersKey      string `arg:"--peers-key,env:BANYANRAIL_PEERS_KEY" help:"PEM key for other entries"`
	PeersCA       string `arg:"--peers-ca,env:BANYANRAIL_PEERS_CA" help:"PEM file of the CA that signs other entries' certificates"`

	// OperatorToken is read from the environment only, so that it does not appear in
	// process lists.
	OperatorToken    string `arg:"--,env:BANYANRAIL_OPERATOR_TOKEN" help:"bearer token of operators"`
	Placement        string `arg:"--placement,env:BANYANRAIL_PLACEMENT" default:"holder" help:"which entry grants slots: holder (one entry for each pool, for all entries) or local (each entry, by its own view)"`
	MemoryMB         string `arg:"--memory-mb,env:BANYANRAIL_MEMORY_MB" help:"memory of the process in MiB; default: that of the machine"`
	MaxFDs           string `arg:"--max-fds,env:BANYANRAIL_MAX_FDS" help:"descriptors of the process; default: the limit of the operating system"`
	ClientMB         string `arg:"--client-mb,env:BANYANRAIL_CLIENT_MB" help:"MiB that all open clients may hold; default: a quarter of the memory"`
	Grace            string `arg:"--grace,env:BANYANRAIL_GRACE" default:"30s" help:"time-out of a graceful shutdown"`
	SnapshotInterval string `arg:"--snapshot-interval,env:BANYANRAIL_SNAPSHOT_INTERVAL" default:"1h" help:"time between snapshots of the control stream; the log has to keep records for several times as long"`
	Traces           string `arg:"--traces,env:BANYANRAIL_TRACES" help:"URL to which traces are exported by OTLP over HTTP"`
	ClaimAppends     string `arg:"--claim-appends,env:BANYANRAIL_CLAIM_APPENDS" default:"30" help:"maximum number of appends to the log per second for claims"`
	TraceShare       string `arg:"--trace-share,env:BANYANRAIL_TRACE_SHARE" default:"0.01" help:"share of traces to keep, 0 to 1"`
}

// config holds the checked settings.
type config struct {
	settings
	grace                 time.Duration
	snapshotInterval      time.Duration
	traceShare            float64
	claimAppendsPerSecond int
	clients               daemon.ClientLimits
	callersTLS            daemon.TLSFiles
	operatorsTLS          daemon.TLSFiles
	peersTLS              daemon.TLSFiles
}

func checkPlacement(v string) error {
	switch reduce.Placement(v) {
	case reduce.PlacementHolder, reduce.PlacementLocal:
		return nil
	default:
		return fmt.Errorf("%q is neither holder nor local", v)
	}
}

// faults collects the faults of settings with the names of their flags.
type faults []error

func (f *faults) add(name string, err error) {
	if err != nil {
		*f = append(*f, fmt.Errorf("--%s: %w", name, err))
	}
}

// check returns the configuration, or an error that names every invalid setting.
func (s settings) check() (config, error) {
	c := config{
		settings:     s,
		callersTLS:   daemon.TLSFiles{Cert: s.CallersCert, Key: s.CallersKey, CA: s.CallersCA},
		operatorsTLS: daemon.TLSFiles{Cert: s.OperatorsCert, Key: s.OperatorsKey, CA: s.OperatorsCA},
		peersTLS:     daemon.TLSFiles{Cert: s.PeersCert, Key: s.PeersKey, CA: s.PeersCA},
	}
	var all faults
	all.add("id", checkID(s.ID))
	all.add("callers", checkAddress(s.Callers))
	all.add("operators", checkAddress(s.Operators))
	all.add("peers", checkAddress(s.Peers))
	all.add("platform", checkURL(s.Platform, true))
	all.add("placement", checkPlacement(s.Placement))
	all.add("traces", checkURL(s.Traces, false))
	all.add("callers-cert", checkTLS(c.callersTLS))
	all.add("operators-cert", checkTLS(c.operatorsTLS))
	all.add("peers-cert", checkTLS(c.peersTLS))
	all = append(all, c.checkClients()...)
	var err error
	c.grace, err = parseDuration(s.Grace)
	all.add("grace", err)
	c.claimAppendsPerSecond, err = parseClaimAppends(s.ClaimAppends)
	all.add("claim-appends", err)
	c.snapshotInterval, err = parseDuration(s.SnapshotInterval)
	all.add("snapshot-interval", err)
	c.traceShare, err = parseShare(s.TraceShare)
	all.add("trace-share", err)
	return c, errors.Join(all...)
}

// minClientMB is the least memory of open clients that holds a body of the largest size
// while its buffer grows.
const minClientMB = 32

// checkClients sets the limits of open clients and returns their faults.
func (c *config) checkClients() faults {
	var all faults
	var err error
	c.clients.MemoryMB, err = parseCount(c.MemoryMB)
	all.add("memory-mb", err)
	maxFDs, err := parseCount(c.MaxFDs)
	all.add("max-fds", err)
	c.clients.MaxFDs = int(maxFDs)
	c.clients.ClientMB, err = parseCount(c.ClientMB)
	all.add("client-mb", err)
	if len(all) > 0 {
		return all
	}
	c.clients, err = c.clients.Check()
	if err == nil && c.clients.ClientMB < minClientMB {
		err = fmt.Errorf("%d is below %d", c.clients.ClientMB, minClientMB)
	}
	all.add("client-mb", err)
	return all
}

// parseCount parses a whole number above 0; a missing one is 0.
func parseCount(text string) (int64, error) {
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseInt(text, 10, 32)
	if err != nil || n < 1 {
		return 0, fmt.Errorf("%q is not a whole number above 0", text)
	}
	return n, nil
}

func checkID(id string) error {
	if id == "" {
		return errors.New("is required")
	}
	return nil
}

func checkAddress(address string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return fmt.Errorf("%q is not an IP address and port", address)
	}
	return nil
}

func checkURL(text string, required bool) error {
	if text == "" {
		if required {
			return errors.New("is required")
		}
		return nil
	}
	u, err := url.Parse(text)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return fmt.Errorf("%q is not an http or https URL", text)
	}
	return nil
}

func checkTLS(f daemon.TLSFiles) error {
	_, err := f.ServerConfig()
	return err
}

func parseDuration(text string) (time.Duration, error) {
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		return 0, fmt.Errorf("%q is not a positive duration such as 30s", text)
	}
	return d, nil
}

// maxClaimAppends is the largest number of appends per second that the platform's
// log accepts.
const maxClaimAppends = 1000

func parseClaimAppends(text string) (int, error) {
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 || n > maxClaimAppends {
		return 0, fmt.Errorf("%q is not a whole number from 1 to %d", text, maxClaimAppends)
	}
	return n, nil
}

func parseShare(text string) (float64, error) {
	share, err := strconv.ParseFloat(text, 64)
	if err != nil || share < 0 || share > 1 {
		return 0, fmt.Errorf("%q is not a number from 0 to 1", text)
	}
	return share, nil
}
