package host

import (
	"context"
	"errors"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/zeebo/errs"
	"k8s.io/klog/v2"

	"github.com/mustardramp/mustardramp"
	"github.com/mustardramp/mustardramp/internal/quorum"
)

// errMemberDown is returned while a member waits for free space on its disk.
var errMemberDown = errs.New("this host's member of the group waits for room on its disk")

// reopenInterval is the time between two attempts to open a member whose disk is
// full.
const reopenInterval = 500 * time.Millisecond

// member is a host's member of a group that survives a full disk. After a failed
// write the content of the disk is unknown until the folder is read again, so the
// member stops and is opened again once the disk accepts writes.
type member struct {
	config quorum.Config
	// reset empties the state machine before the log is applied to it again.
	reset func() error
	// fullSince is when the disk was found full, or zero. Only openMember and run
	// use it.
	fullSince time.Time
	// current is nil while the member waits for free space on its disk.
	current atomic.Pointer[quorum.Group]
}

var _ mustardramp.Log = (*member)(nil)

// openMember opens a member from its folder. If the disk is full, the member stays
// down until run has opened it.
func openMember(config quorum.Config, reset func() error) (*member, error) {
	m := &member{config: config, reset: reset}
	g, err := quorum.Open(config)
	if isDiskFull(err) {
		m.logFull(err)
		return m, nil
	}
	if err != nil {
		return nil, err
	}
	m.current.Store(g)
	return m, nil
}

// isDiskFull reports whether an operation failed because the disk, or the part of it
// that the process may use, has no room.
func isDiskFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// logFull logs that the member is down until its disk has room.
func (m *member) logFull(err error) {
	m.fullSince = time.Now()
	klog.ErrorS(err, "disk-full", "group", m.config.Group, "folder", m.config.Folder, "pause", reopenInterval)
}

// Propose implements mustardramp.Log.
func (m *member) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if g := m.current.Load(); g != nil {
		return g.Propose(ctx, command)
	}
	return nil, quorum.ErrUnknown.Wrap(errMemberDown)
}

// Confirm implements mustardramp.Log.
func (m *member) Confirm(ctx context.Context) error {
	if g := m.current.Load(); g != nil {
		return g.Confirm(ctx)
	}
	return errMemberDown
}

// Receive handles a message of another member. While this member is down the
// message is lost.
func (m *member) Receive(from mustardramp.HostName, message quorum.Message) {
	if g := m.current.Load(); g != nil {
		g.Receive(from, message)
	}
}

// Status returns what the member knows of its group. It is the zero Status while
// the member is down.
func (m *member) Status() quorum.Status {
	if g := m.current.Load(); g != nil {
		return g.Status()
	}
	return quorum.Status{}
}

// run takes part in the group until the context ends or the disk fails for
// another reason than being full.
func (m *member) run(ctx context.Context) error {
	for {
		if m.current.Load() == nil {
			if err := m.reopen(ctx); err != nil || m.current.Load() == nil {
				return err
			}
			klog.InfoS("member-reopened", "group", m.config.Group, "folder", m.config.Folder,
				"down", time.Since(m.fullSince).Milliseconds())
		}
		err := m.current.Load().Run(ctx)
		if !isDiskFull(err) {
			return err
		}
		m.current.Store(nil)
		m.logFull(err)
	}
}

// reopen opens the member again once its disk has free space. If the context ends
// first, it returns nil and the member stays down.
func (m *member) reopen(ctx context.Context) error {
	for {
		timer := time.NewTimer(reopenInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		}
		if err := m.reset(); err != nil {
			return err
		}
		g, err := quorum.Open(m.config)
		if err == nil {
			m.current.Store(g)
			return nil
		}
		if !isDiskFull(err) {
			return err
		}
	}
}
