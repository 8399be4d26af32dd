import { decode, encode } from '@msgpack/msgpack';

/** Encodes a value as MessagePack. */
export function pack(value: unknown): Uint8Array {
  return encode(value);
}

/** Decodes one MessagePack value; `undefined` where the bytes are not exactly one. */
export function safeUnpack(bytes: Uint8Array): unknown {
  try {
    return decode(bytes);
  } catch {
    return undefined;
  }
}
