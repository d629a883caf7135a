import { Encoder } from 'cbor-x';

/** CBOR of the project's messages and records: plain maps, each readable without the others. */
export const cborCodec = new Encoder({ useRecords: false, mapsAsObjects: true });
