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

// errMemberDown is returned while a member waits for room on its disk.
var errMemberDown = errs.New("this host's member of the group waits for room on its disk")

// reopenPause is the time between two tries to open a member whose disk is
// full.
const reopenPause = 500 * time.Millisecond

// member is a host's member of a group over the loss of its disk's room. After a
// failed write what the disk holds is known again only after the folder was read
// anew: the member stops, and is opened again once the disk takes bytes.
type member struct {
	config quorum.Config
	// reset empties the machine before the log is applied to it anew. A member
	// without it ends with its first failure.
	reset func() error
	now   atomic.Pointer[quorum.Group]
}

var _ mustardramp.Log = (*member)(nil)

func openMember(config quorum.Config, reset func() error) (*member, error) {
	m := &member{config: config, reset: reset}
	g, err := quorum.Open(config)
	if err != nil {
		return nil, err
	}
	m.now.Store(g)
	return m, nil
}

// Propose implements mustardramp.Log.
func (m *member) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if g := m.now.Load(); g != nil {
		return g.Propose(ctx, command)
	}
	return nil, quorum.ErrUnknown.Wrap(errMemberDown)
}

// Confirm implements mustardramp.Log.
func (m *member) Confirm(ctx context.Context) error {
	if g := m.now.Load(); g != nil {
		return g.Confirm(ctx)
	}
	return errMemberDown
}

// Receive takes in a message of another member. It is lost while this one waits.
func (m *member) Receive(from mustardramp.HostName, message quorum.Message) {
	if g := m.now.Load(); g != nil {
		g.Receive(from, message)
	}
}

// Status returns what the member knows of its group.
func (m *member) Status() quorum.Status {
	if g := m.now.Load(); g != nil {
		return g.Status()
	}
	return quorum.Status{}
}

// run takes part in the group until the context ends or the disk fails for
// another reason than a lack of room.
func (m *member) run(ctx context.Context) error {
	for {
		err := m.now.Load().Run(ctx)
		if m.reset == nil || !errors.Is(err, syscall.ENOSPC) {
			return err
		}
		m.now.Store(nil)
		klog.ErrorS(err, "disk-full", "group", m.config.Group, "folder", m.config.Folder, "pause", reopenPause)
		if err := m.reopen(ctx); err != nil {
			return err
		}
		if m.now.Load() == nil {
			return nil
		}
		klog.InfoS("disk-regained", "group", m.config.Group, "folder", m.config.Folder)
	}
}

// reopen opens the member again once its disk has room. It returns without one
// when the context ends first.
func (m *member) reopen(ctx context.Context) error {
	for {
		timer := time.NewTimer(reopenPause)
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
			m.now.Store(g)
			return nil
		}
		if !errors.Is(err, syscall.ENOSPC) {
			return err
		}
	}
}
