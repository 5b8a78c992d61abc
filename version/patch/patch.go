package patch

import (
	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/klauspost/compress/zstd"
)

// ErrMismatch means that a patch does not belong to a form, or is damaged.
var ErrMismatch = errors.New("the patch does not fit")

const (
	// MaxBytes limits the forms that patches lead to. It is well above 28 MB, the size of
	// 28,000 routes of 1 KB.
	MaxBytes = 64 << 20
	// blockBytes is the size of the blocks in which the newer form is encoded.
	blockBytes = 256 << 10
	// marginBytes is how far content may move between two forms and still be found.
	marginBytes = 64 << 10
	// maxDecoderBytes limits the memory for the window of a block.
	maxDecoderBytes = 1 << 20
)

// Patch is the difference between two encoded configurations. Its names on the wire are
// short.
type Patch struct {
	// From and To are the digests of the two forms.
	From uint64 `codec:"f"`
	To   uint64 `codec:"t"`
	// Length is the length of the newer form in bytes.
	Length int `codec:"n"`
	// Blocks are the blocks of the newer form, each compressed with the part of the older
	// one at the same place as its dictionary.
	Blocks [][]byte `codec:"b"`
}

// Digest returns the digest by which patches name an encoded configuration.
func Digest(encoded []byte) uint64 { return xxhash.Sum64(encoded) }

// Make returns the patch that leads from one encoded configuration to another.
func Make(from, to []byte) (Patch, error) {
	p := Patch{From: Digest(from), To: Digest(to), Length: len(to)}
	for at := 0; at < len(to); at += blockBytes {
		block, err := compressBlock(dictionary(from, at), to[at:min(len(to), at+blockBytes)])
		if err != nil {
			return Patch{}, err
		}
		p.Blocks = append(p.Blocks, block)
	}
	return p, nil
}

// dictionary returns the part of the older form that is expected to resemble the block at
// an offset of the newer one.
func dictionary(from []byte, at int) []byte {
	begin := min(len(from), max(0, at-marginBytes))
	end := min(len(from), at+blockBytes+marginBytes)
	return from[begin:end]
}

func compressBlock(dictionary, block []byte) ([]byte, error) {
	options := []zstd.EOption{
		zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedDefault), zstd.WithLowerEncoderMem(true),
		zstd.WithWindowSize(maxDecoderBytes), zstd.WithSingleSegment(false), zstd.WithEncoderCRC(false),
	}
	if len(dictionary) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, dictionary))
	}
	e, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, errors.Wrap(err, "compress a block")
	}
	defer e.Close()
	return e.EncodeAll(block, nil), nil
}

// dictionaryID names the dictionary of a block, of which there is only one.
const dictionaryID = 1

// Apply returns the newer form, made from the older one. Errors wrap ErrMismatch.
func (p Patch) Apply(from []byte) ([]byte, error) {
	if p.From != Digest(from) {
		return nil, errors.Wrap(ErrMismatch, "digest of the older form")
	}
	if p.Length < 0 || p.Length > MaxBytes || len(p.Blocks) != (p.Length+blockBytes-1)/blockBytes {
		return nil, errors.Wrapf(ErrMismatch, "%d bytes in %d blocks", p.Length, len(p.Blocks))
	}
	var to []byte
	for i, block := range p.Blocks {
		var err error
		to, err = decompressBlock(dictionary(from, i*blockBytes), block, to)
		if err != nil {
			return nil, errors.Wrap(ErrMismatch, err.Error())
		}
		if len(to) > p.Length {
			break
		}
	}
	if len(to) != p.Length || Digest(to) != p.To {
		return nil, errors.Wrap(ErrMismatch, "digest of the newer form")
	}
	return to, nil
}

// decompressBlock appends the content of a block to a form.
func decompressBlock(dictionary, block, to []byte) ([]byte, error) {
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxWindow(maxDecoderBytes), zstd.WithDecoderMaxMemory(maxDecoderBytes),
	}
	if len(dictionary) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, dictionary))
	}
	d, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	content, err := d.DecodeAll(block, nil)
	return append(to, content...), err
}

// Size returns the approximate size of the patch on the wire, in bytes.
func (p Patch) Size() int {
	size := 0
	for _, b := range p.Blocks {
		size += len(b)
	}
	return size
}
