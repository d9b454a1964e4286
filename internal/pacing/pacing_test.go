package pacing

import (
	"bytes"
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/mustardramp/mustardramp"
)

// linkRate is 2.9 Mbit/s in bytes per second.
const linkRate mustardramp.Bytes = 2_900_000 / 8

// TestUploadsShareTheLink checks that concurrent uploads through one host together
// use their share of the link and no more, in chunks of limited size.
func TestUploadsShareTheLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const uploads, length = 4, 60 << 10
		l := NewLink(linkRate)
		began := time.Now()
		var group errgroup.Group
		for range uploads {
			group.Go(func() error {
				r := l.Reader(t.Context(), bytes.NewReader(make([]byte, length)))
				b := make([]byte, length)
				for {
					n, err := r.Read(b)
					if most := int(float64(linkRate) * chunkTime.Seconds()); n > most {
						t.Errorf("got a chunk of %d bytes, want at most %d", n, most)
					}
					if err == io.EOF {
						return nil
					}
					if err != nil {
						return err
					}
				}
			})
		}
		if err := group.Wait(); err != nil {
			t.Fatal(err)
		}
		got := float64(uploads*length) / time.Since(began).Seconds()
		if want := bodyShare * float64(linkRate); got < 0.9*want || got > 1.1*want {
			t.Errorf("got %.0f bytes a second, want about %.0f", got, want)
		}
	})
}

func TestPacedBodyIsComplete(t *testing.T) {
	body := bytes.Repeat([]byte("recording "), 1000)
	got, err := io.ReadAll(NewLink(10<<20).Reader(t.Context(), bytes.NewReader(body)))
	if err != nil || !bytes.Equal(got, body) {
		t.Errorf("got %d bytes, %v, want the %d of the body", len(got), err, len(body))
	}
}

func TestFastLinkIsNotPaced(t *testing.T) {
	for name, perSecond := range map[string]mustardramp.Bytes{"unknown": 0, "1000 Mbit/s": 125_000_000} {
		if l := NewLink(perSecond); l != nil {
			t.Errorf("%s: got pacing, want none", name)
		}
	}
}

func TestPacingEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	r := NewLink(linkRate).Reader(ctx, bytes.NewReader(make([]byte, 1<<20)))
	cancel()
	if _, err := io.Copy(io.Discard, r); err == nil {
		t.Error("got the whole body, want the end of the context")
	}
}
