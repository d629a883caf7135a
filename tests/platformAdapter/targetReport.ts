/** What a target that is ready reports of itself. */
export const TARGET_REPORT = {
  backend: 'b',
  address: '10.0.0.1:80',
  zone: 'z',
  version: 'v1',
  capacity: 8,
  sequence: 4,
  state: 'ready',
  free_capacity: { cpu: 16_000, mem_mb: 32_768 },
};
