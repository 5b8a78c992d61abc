package customer

import (
	"crypto/rand"
	"crypto/sha256"
)

// digest is the salted hash of a key. 16 bytes exclude collisions among keys and guesses,
// at half the memory of the whole hash.
type digest [16]byte

// salt differs in each process.
var salt = func() (s [32]byte) {
	// Read never returns an error; it ends the program if there is no randomness.
	_, _ = rand.Read(s[:])
	return s
}()

// keyBufferBytes is the length of a salt and a key up to which a digest needs no
// allocation.
const keyBufferBytes = 160

func digestOf(key string) digest {
	var buffer [keyBufferBytes]byte
	input := append(append(buffer[:0], salt[:]...), key...)
	sum := sha256.Sum256(input)
	return digest(sum[:len(digest{})])
}
