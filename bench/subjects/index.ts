export { bufferFigures, measureBuffers, replayBuffers } from './measureBuffers.js';
export { measureOverload, overloadFigures, speedUp } from './measureOverload.js';
export { measurePlacement, placementFigures, replayPlacement } from './measurePlacement.js';
export { measureWaves, replayWaves, waveFigures } from './measureWaves.js';
